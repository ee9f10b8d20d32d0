import {monotonicMs, sleep} from '@vanillamux/shared';
import type {Member} from './member.js';
import type {AppendReply, AppendRequest} from './messages.js';
import type {RaftState} from './raft_state.js';
import type {RaftTiming} from './raft_timing.js';
import type {RaftTransport} from './raft_transport.js';

/** Dependencies of a `ContactKeeper`. */
export interface ContactKeeperOptions {
  readonly peer: Member;
  readonly term: number;
  readonly state: RaftState;
  readonly transport: RaftTransport;
  readonly timing: RaftTiming;
  /** Called with a reply, and the time at which its heartbeat was sent. */
  readonly onReply: (reply: AppendReply, sentMs: number) => void;
}

/**
 * Sends heartbeats to a peer while a call with much data is in flight, which
 * may last longer than an election timeout.
 */
export class ContactKeeper {
  constructor(private readonly options: ContactKeeperOptions) {}

  /** Sends heartbeats until `call` has ended or `signal` aborts. */
  async during<T>(call: Promise<T>, signal: AbortSignal): Promise<T> {
    const ended = new AbortController();
    void this.sendHeartbeats(ended.signal, signal);
    try {
      return await call;
    } finally {
      ended.abort();
    }
  }

  private async sendHeartbeats(
    ended: AbortSignal,
    signal: AbortSignal,
  ): Promise<void> {
    const {peer, transport, timing, onReply} = this.options;
    const {heartbeatMs, callTimeoutMs} = timing;
    await sleep(heartbeatMs, ended);
    while (!ended.aborted && !signal.aborted) {
      const sentMs = monotonicMs();
      const result = await transport.append(
        peer,
        this.createHeartbeat(),
        callTimeoutMs,
      );
      if (signal.aborted) return;
      if (result.ok) onReply(result.value, sentMs);
      await sleep(Math.max(heartbeatMs - (monotonicMs() - sentMs), 0), ended);
    }
  }

  /** Creates a heartbeat that matches any log, as the call tells the position. */
  private createHeartbeat(): AppendRequest {
    const {term, state} = this.options;
    return {
      term,
      leaderId: state.selfId,
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
    };
  }
}
