import {Deferred} from '@vanillamux/shared';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {RequestLimitNotice} from './request_limit_notice.js';

/** Time for an owner's reply: some round trips between failure domains. */
const REPLY_TIMEOUT_MS = 50;

/** Asks owners for permits, and receives their replies. */
export class PermitClient {
  private readonly pending = new Map<number, Deferred<number | undefined>>();
  private nextId = 0;

  constructor(private readonly notices: PeerNotices) {}

  /**
   * Asks an owner. Returns the time until a permit is due, 0 with a permit, or
   * `undefined` if the owner has not replied.
   */
  async ask(
    owner: string,
    createNotice: (id: number) => RequestLimitNotice,
  ): Promise<number | undefined> {
    const id = this.nextId++;
    const reply = new Deferred<number | undefined>();
    this.pending.set(id, reply);
    this.notices.sendFactsTo(owner, {limits: createNotice(id)});
    const timer = setTimeout(() => reply.resolve(undefined), REPLY_TIMEOUT_MS);
    const waitMs = await reply.promise;
    clearTimeout(timer);
    this.pending.delete(id);
    return waitMs;
  }

  /** Handles an owner's reply. */
  receive({id, waitMs}: {readonly id: number; readonly waitMs: number}): void {
    this.pending.get(id)?.resolve(waitMs);
  }
}
