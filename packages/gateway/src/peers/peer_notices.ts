import {createSocket, type Socket} from 'node:dgram';
import type {EntryPeer, EvacuationView} from '@vanillamux/protocol';
import {
  ErrorCodes,
  EventBus,
  fail,
  formatAddress,
  getLogger,
  monotonicMs,
  succeed,
  VmuxError,
  type Address,
  type Result,
} from '@vanillamux/shared';
import type {Stream} from 'most';
import type {ColdNotice} from '../cold_backends/cold_notice.js';
import type {DepartureNotice} from '../departures/departure_notice.js';
import type {FailureNotice} from '../failing_backends/failure_notice.js';
import type {BackendPool} from '../fleet/backend_pool.js';
import type {PlacedWork} from '../placement/placed_work.js';
import type {QuarantineNotice} from '../quarantine/quarantine_notice.js';
import {chooseReceivers, type Receiver} from './choose_receivers.js';
import {decodeNotice} from './decode_notice.js';
import {encodeNotice} from './encode_notice.js';
import type {PlacementNotice} from './placement_notice.js';
import type {PeerFacts} from './peer_facts.js';
import type {ReceivedLimitNotice} from './received_limit_notice.js';
import type {ReceivedReachNotice} from '../reach/received_reach_notice.js';
import type {ReceivedSyncNotice} from './received_sync_notice.js';

/** Bound of the index at which a host begins; above the number of hosts. */
const MAX_FIRST_RECEIVER = 2 ** 16;

const log = getLogger('peers');

/** Options of `PeerNotices`. */
export interface PeerNoticesOptions {
  readonly id: string;
  readonly failureDomain: string;
  readonly address: Address;
  readonly backends: BackendPool;
}

/**
 * Broadcasts the work that this entry host places, so that several hosts do not
 * choose the same engines within a few milliseconds. Notices are hints: they
 * are sent as datagrams, are not acknowledged, and expire.
 */
export class PeerNotices {
  private readonly socket: Socket = createSocket('udp4');
  private readonly quarantineBus = new EventBus<QuarantineNotice>();
  private readonly limitBus = new EventBus<ReceivedLimitNotice>();
  private readonly departureBus = new EventBus<DepartureNotice>();
  private readonly coldBus = new EventBus<ColdNotice>();
  private readonly failureBus = new EventBus<FailureNotice>();
  private readonly reachBus = new EventBus<ReceivedReachNotice>();
  private readonly evacuationBus = new EventBus<EvacuationView>();
  private readonly syncBus = new EventBus<ReceivedSyncNotice>();
  private peers: readonly EntryPeer[] = [];
  /** Index of the next receiver of facts; hosts begin at different ones. */
  private nextReceiver = Math.floor(Math.random() * MAX_FIRST_RECEIVER);
  private isClosed = false;

  constructor(private readonly options: PeerNoticesOptions) {
    this.socket.on('message', (bytes, {address, port}) =>
      this.receive(bytes, {host: address, port}),
    );
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
          log.warn('The notice socket failed.', {reason: error.message}),
        );
        resolve(succeed(undefined));
      });
    });
  }

  /** Replaces the peers that receive notices. */
  replacePeers(peers: readonly EntryPeer[]): void {
    // Control hosts list them in different orders; `sendFacts` needs one.
    this.peers = peers
      .filter(({id}) => id !== this.options.id)
      .sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  /** Number of the other entry hosts. */
  get peerCount(): number {
    return this.peers.length;
  }

  /** Broadcasts work that this host has placed. */
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
   * Broadcasts that work has ended. The peers would otherwise count its memory
   * and its stream until its expected end.
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

  /** Broadcasts facts that every host needs. */
  broadcastFacts(facts: PeerFacts): void {
    this.broadcast(this.createFactsNotice(facts));
  }

  /** Sends facts to `count` peers; further calls send to the others in turn. */
  sendFacts(facts: PeerFacts, count: number): void {
    if (this.peers.length === 0) return;
    const start = this.nextReceiver % this.peers.length;
    this.nextReceiver = start + count;
    const receivers = [
      ...this.peers.slice(start),
      ...this.peers.slice(0, start),
    ].slice(0, count);
    this.send(
      this.createFactsNotice(facts),
      receivers.map(peer => ({peer, relay: false})),
    );
  }

  /** Sends facts to one peer, if it is known. */
  sendFactsTo(peerId: string, facts: PeerFacts): void {
    const peer = this.peers.find(({id}) => id === peerId);
    if (peer) this.replyTo(peer.address, facts);
  }

  /** Sends facts to the host at an address, which may not be known yet. */
  replyTo(address: Address, facts: PeerFacts): void {
    this.sendBytes(encodeNotice(this.createFactsNotice(facts), false), address);
  }

  /** Streams the notices of other hosts about ends of backend servers. */
  quarantineNotices(): Stream<QuarantineNotice> {
    return this.quarantineBus.stream();
  }

  /** Streams the notices of other hosts about request limits. */
  limitNotices(): Stream<ReceivedLimitNotice> {
    return this.limitBus.stream();
  }

  /** Streams the notices of other hosts about backend servers that leave. */
  departureNotices(): Stream<DepartureNotice> {
    return this.departureBus.stream();
  }

  /** Streams the notices of other hosts about backend servers that are cold. */
  coldNotices(): Stream<ColdNotice> {
    return this.coldBus.stream();
  }

  /** Streams the notices of other hosts about backend servers that fail. */
  failureNotices(): Stream<FailureNotice> {
    return this.failureBus.stream();
  }

  /** Streams the notices of other hosts about services that they have lost. */
  reachNotices(): Stream<ReceivedReachNotice> {
    return this.reachBus.stream();
  }

  /** Streams the notices of other hosts about emptied failure domains. */
  evacuationNotices(): Stream<EvacuationView> {
    return this.evacuationBus.stream();
  }

  /** Streams the requests for facts and the replies of other hosts. */
  syncNotices(): Stream<ReceivedSyncNotice> {
    return this.syncBus.stream();
  }

  /** Closes the socket; later notices are dropped. */
  close(): void {
    this.isClosed = true;
    this.socket.close();
  }

  private createFactsNotice({
    quarantine,
    limits,
    departures,
    cold,
    failures,
    reach,
    evacuation,
    sync,
  }: PeerFacts): PlacementNotice {
    return {
      from: this.options.id,
      work: '',
      relay: false,
      placed: [],
      ended: [],
      quarantine: quarantine && {
        crashes: [],
        sound: [],
        facts: [],
        ...quarantine,
      },
      limits: limits && {facts: [], ...limits},
      departures,
      cold,
      failures,
      reach,
      evacuation,
      sync,
    };
  }

  private broadcast(notice: PlacementNotice): void {
    const {failureDomain} = this.options;
    this.send(notice, chooseReceivers(this.peers, failureDomain, Math.random));
  }

  private receive(bytes: Buffer, replyTo: Address): void {
    const notice = decodeNotice(bytes);
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
    if (notice.quarantine) this.quarantineBus.emit(notice.quarantine);
    // Emitted before the limits, which may ask for a permit for one of them.
    if (notice.cold) this.coldBus.emit(notice.cold);
    if (notice.limits) this.limitBus.emit({replyTo, notice: notice.limits});
    if (notice.departures) this.departureBus.emit(notice.departures);
    if (notice.failures) this.failureBus.emit(notice.failures);
    if (notice.reach)
      this.reachBus.emit({from: notice.from, notice: notice.reach});
    if (notice.evacuation) this.evacuationBus.emit(notice.evacuation);
    // Emitted last, so that a reply has been applied.
    if (notice.sync) this.syncBus.emit({replyTo, kind: notice.sync});
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
    let direct: Buffer | undefined;
    let relayed: Buffer | undefined;
    for (const {peer, relay} of receivers) {
      const bytes = relay
        ? (relayed ??= encodeNotice(notice, true))
        : (direct ??= encodeNotice(notice, false));
      this.sendBytes(bytes, peer.address);
    }
  }

  private sendBytes(bytes: Buffer, {host, port}: Address): void {
    if (this.isClosed) return;
    this.socket.send(bytes, port, host, error => {
      if (!error) return;
      log.debug('Could not send a notice.', {
        peer: formatAddress({host, port}),
        reason: error.message,
      });
    });
  }
}
