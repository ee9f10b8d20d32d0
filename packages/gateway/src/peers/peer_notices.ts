import {createSocket, type Socket} from 'node:dgram';
import type {EntryPeer} from '@vanillamux/protocol';
import {
  ErrorCodes,
  fail,
  getLogger,
  monotonicMs,
  succeed,
  VmuxError,
  type Address,
  type Result,
} from '@vanillamux/shared';
import type {BackendPool} from '../fleet/backend_pool.js';
import type {PlacedWork} from '../placement/placed_work.js';
import {chooseReceivers, type Receiver} from './choose_receivers.js';
import type {PlacementNotice} from './placement_notice.js';
import {placementNoticeSchema} from './placement_notice_schema.js';

const log = getLogger('peers');

/** Options of `PeerNotices`. */
export interface PeerNoticesOptions {
  readonly id: string;
  readonly failureDomain: string;
  readonly address: Address;
  readonly backends: BackendPool;
}

/**
 * Tells the other entry hosts what this one has placed, so that hosts do not
 * choose the same engines within a few milliseconds. Notices are hints: they go
 * as datagrams, are not acknowledged, and expire by themselves.
 */
export class PeerNotices {
  private readonly socket: Socket = createSocket('udp4');
  private peers: readonly EntryPeer[] = [];

  constructor(private readonly options: PeerNoticesOptions) {
    this.socket.on('message', bytes => this.receive(bytes));
  }

  /** Binds the socket. Fails with `PortTaken`. */
  listen(): Promise<Result<void>> {
    const {host, port} = this.options.address;
    return new Promise(resolve => {
      this.socket.once('error', error => {
        const message = `cannot listen on ${host}:${port}: ${error.message}`;
        resolve(fail(new VmuxError(ErrorCodes.PortTaken, {message})));
      });
      this.socket.bind(port, host, () => {
        this.socket.removeAllListeners('error');
        this.socket.on('error', error =>
          log.warn('The socket for notices failed.', {reason: error.message}),
        );
        resolve(succeed(undefined));
      });
    });
  }

  /** Replaces the hosts that are told. */
  replacePeers(peers: readonly EntryPeer[]): void {
    this.peers = peers.filter(({id}) => id !== this.options.id);
  }

  /** Tells the other hosts of work that was placed. */
  tell(work: string, placed: readonly PlacedWork[]): void {
    if (placed.length === 0) return;
    this.broadcast({
      from: this.options.id,
      work,
      relay: false,
      placed: placed.map(({backend, item}) => [
        backend.presence.id,
        backend.presence.incarnation,
        Math.round(item.prefillMs),
        item.contextTokens,
        Math.round(item.decodeMs),
        item.pauseGoalMs,
        item.firstEventGoalMs,
        item.lossIfLate,
      ]),
      ended: [],
    });
  }

  /**
   * Tells the other hosts that work has ended. They would otherwise count its
   * memory and its stream for as long as they had expected it to last.
   */
  tellEnd(work: string, placed: readonly PlacedWork[]): void {
    if (placed.length === 0) return;
    this.broadcast({
      from: this.options.id,
      work,
      relay: false,
      placed: [],
      ended: placed.map(({backend}) => backend.presence.id),
    });
  }

  /** Closes the socket. */
  close(): void {
    this.socket.close();
  }

  private broadcast(notice: PlacementNotice): void {
    const {failureDomain} = this.options;
    this.send(notice, chooseReceivers(this.peers, failureDomain, Math.random));
  }

  private receive(bytes: Buffer): void {
    const notice = parseNotice(bytes);
    if (!notice || notice.from === this.options.id) return;
    const nowMs = monotonicMs();
    for (const id of notice.ended) {
      this.options.backends.get(id)?.work.remove(notice.work, nowMs);
    }
    for (const [id, incarnation, ...rest] of notice.placed) {
      const backend = this.options.backends.get(id);
      if (backend?.presence.incarnation !== incarnation) continue;
      const [prefillMs, tokens, decodeMs, pauseGoalMs, goalMs, stake] = rest;
      backend.work.addPeerWork(
        notice.work,
        {
          prefillMs,
          contextTokens: tokens,
          decodeMs,
          pauseGoalMs,
          firstEventGoalMs: goalMs,
          lossIfLate: stake,
        },
        nowMs,
      );
    }
    if (notice.relay) this.relay(notice);
  }

  private relay(notice: PlacementNotice): void {
    const {failureDomain} = this.options;
    const receivers = this.peers
      .filter(peer => peer.failureDomain === failureDomain)
      .map(peer => ({peer, relay: false}));
    this.send(notice, receivers);
  }

  private send(notice: PlacementNotice, receivers: readonly Receiver[]): void {
    for (const {peer, relay} of receivers) {
      const {host, port} = peer.address;
      const bytes = Buffer.from(JSON.stringify({...notice, relay}));
      this.socket.send(bytes, port, host, error => {
        if (!error) return;
        log.debug('Could not send a notice.', {
          peer: peer.id,
          reason: error.message,
        });
      });
    }
  }
}

function parseNotice(bytes: Buffer): PlacementNotice | undefined {
  try {
    const parsed = placementNoticeSchema.safeParse(JSON.parse(String(bytes)));
    if (parsed.success) return parsed.data;
    log.warn('Ignored a malformed notice.', {reason: parsed.error.message});
  } catch (error) {
    log.warn('Ignored an unreadable notice.', {
      reason: (error as Error).message,
    });
  }
  return undefined;
}
