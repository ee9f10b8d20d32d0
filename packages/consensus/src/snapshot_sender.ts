import {getLogger, monotonicMs, succeed, type Result} from '@vanillamux/shared';
import type {Member} from './member.js';
import type {RaftState} from './raft_state.js';
import type {RaftTiming} from './raft_timing.js';
import type {RaftTransport} from './raft_transport.js';
import type {Snapshot} from './snapshot.js';

const CHUNK_CHARACTERS = 128 * 1_024;
/** Factor on the call timeout; the last chunk is answered after a disk write. */
const TIMEOUT_FACTOR = 10;

const log = getLogger('consensus');

/** Dependencies of a `SnapshotSender`. */
export interface SnapshotSenderOptions {
  readonly peer: Member;
  readonly term: number;
  readonly state: RaftState;
  readonly transport: RaftTransport;
  readonly timing: RaftTiming;
  readonly takeSnapshot: () => Promise<Snapshot>;
}

/** Reply of a peer to one chunk. */
export interface SnapshotProgress {
  readonly term: number;
  /** Time at which the chunk was sent. */
  readonly sentMs: number;
  /** Log index of the snapshot, once the peer has all of it. */
  readonly installedIndex?: number;
}

/** Sends snapshots to one peer in chunks; a lost chunk alone is sent again. */
export class SnapshotSender {
  private snapshot?: Snapshot;
  private offset = 0;

  constructor(private readonly options: SnapshotSenderOptions) {}

  /** Whether a snapshot is ready to be sent, or sent in part. */
  get isSending(): boolean {
    return this.snapshot !== undefined;
  }

  /** Takes a snapshot to send. Returns false if it is not `isWorthwhile`. */
  async prepare(
    isWorthwhile: (snapshot: Snapshot) => boolean,
  ): Promise<boolean> {
    const snapshot = await this.options.takeSnapshot();
    if (!isWorthwhile(snapshot)) return false;
    this.start(snapshot);
    return true;
  }

  /** Sends the next chunk. */
  async send(): Promise<Result<SnapshotProgress>> {
    const {term, transport, timing, state, peer, takeSnapshot} = this.options;
    const snapshot = this.snapshot ?? this.start(await takeSnapshot());
    const sentMs = monotonicMs();
    const chunk = snapshot.state.slice(
      this.offset,
      this.offset + CHUNK_CHARACTERS,
    );
    const result = await transport.snapshot(
      peer,
      {
        term,
        leaderId: state.selfId,
        lastIndex: snapshot.index,
        lastTerm: snapshot.term,
        members: [...snapshot.members],
        offset: this.offset,
        chunk,
        done: this.offset + chunk.length === snapshot.state.length,
      },
      timing.callTimeoutMs * TIMEOUT_FACTOR,
    );
    if (!result.ok) return result;
    const {term: peerTerm, nextOffset} = result.value;
    const progress = {term: peerTerm, sentMs};
    if (peerTerm > term) return succeed(progress);
    this.offset = nextOffset;
    if (nextOffset < snapshot.state.length) return succeed(progress);
    this.snapshot = undefined;
    return succeed({...progress, installedIndex: snapshot.index});
  }

  private start(snapshot: Snapshot): Snapshot {
    this.snapshot = snapshot;
    this.offset = 0;
    log.info('Sending a snapshot to a member.', {
      member: this.options.peer.id,
      index: snapshot.index,
      characters: snapshot.state.length,
    });
    return snapshot;
  }
}
