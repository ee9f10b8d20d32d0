import {BackendKind, BackendState} from '@vanillamux/protocol';
import type {
  BackendRecord,
  BackendTable,
  PeerInFlightTracker,
} from '@vanillamux/membership';
import type {
  BackendView,
  CandidatePool,
  InFlightTracker,
} from '@vanillamux/routing';
import type {BackendHealth} from './backend_health.js';
import type {DeclarationIndex} from './declaration_index.js';

/** Backend servers of each other failure domain that a decision looks at. */
const REMOTE_SAMPLE = 5;

/** What a request needs of a backend server. */
export interface BackendNeed {
  readonly model: string;
  readonly tokens: number;
  /** Backend servers that this request has already failed on. */
  readonly excluded: ReadonlySet<string>;
}

/** Options of a `BackendDirectory`. */
export interface BackendDirectoryOptions {
  readonly failureDomain: string;
  readonly table: BackendTable;
  readonly ledger: InFlightTracker;
  readonly peerLoads: PeerInFlightTracker;
  readonly health: BackendHealth;
  /** The declarations in force. */
  readonly declarations: {readonly current: DeclarationIndex};
}

/** Joins membership, own load and health into the views for routing. */
export class BackendDirectory {
  constructor(private readonly options: BackendDirectoryOptions) {}

  /**
   * Model workers that can take the request. Only the own failure domain is
   * looked through, so that the cost does not grow with the fleet.
   */
  candidates(need: BackendNeed): CandidatePool {
    const {table, failureDomain} = this.options;
    const local = this.select(table.listIn(failureDomain), need);
    return {
      preferred: local.length > 0 ? local : this.allCandidates(need),
      sampleRemote: () =>
        this.select(table.sampleOutside(failureDomain, REMOTE_SAMPLE), need),
    };
  }

  /** Every model worker that can take the request, for gangs. */
  allCandidates(need: BackendNeed): BackendView[] {
    return this.select(this.options.table.list(), need);
  }

  /** Largest memory of any model worker that serves a model, in tokens. */
  largestMemory(model: string): number {
    const sizes = this.options.table
      .list()
      .filter(({announcement}) => announcement.models.includes(model))
      .map(({announcement}) => announcement.memoryTokens);
    return Math.max(0, ...sizes);
  }

  /** Backend servers of a plain service that take new work. */
  services(name: string): BackendRecord[] {
    return this.options.table
      .list()
      .filter(
        ({announcement}) =>
          announcement.kind === BackendKind.Service &&
          announcement.service === name &&
          announcement.state === BackendState.Ready &&
          !this.options.declarations.current.isDrained(announcement.id),
      );
  }

  /** The healthy ones of those that fit, or all of them when none is healthy. */
  private select(
    records: readonly BackendRecord[],
    need: BackendNeed,
  ): BackendView[] {
    const {health, declarations} = this.options;
    const {current} = declarations;
    const fitting: BackendRecord[] = [];
    const healthy: BackendRecord[] = [];
    for (const record of records) {
      const {id, kind, state, memoryTokens, models} = record.announcement;
      if (kind !== BackendKind.Model || state !== BackendState.Ready) continue;
      if (memoryTokens < need.tokens || !models.includes(need.model)) continue;
      if (need.excluded.has(id) || current.isDrained(id)) continue;
      fitting.push(record);
      if (health.isUsable(id)) healthy.push(record);
    }
    const usable = healthy.length > 0 ? healthy : fitting;
    return usable.map(record => this.view(record));
  }

  private view({announcement}: BackendRecord): BackendView {
    const {ledger, peerLoads, failureDomain} = this.options;
    const {id, load, memoryTokens} = announcement;
    const own = ledger.prefillByPriorityOn(id);
    const peers = peerLoads.totalOn(id);
    const held = ledger.heldTokensOn(id) + (peers?.heldTokens ?? 0);
    return {
      id,
      incarnation: announcement.incarnation,
      address: announcement.address,
      failureDomain: announcement.failureDomain,
      isLocal: announcement.failureDomain === failureDomain,
      memoryTokens,
      prefillTokensPerSecond: announcement.prefillTokensPerSecond,
      decodeStepMs: announcement.decodeStepMs,
      chunkTokens: announcement.chunkTokens,
      prefillByPriority: peers
        ? peers.prefillByPriority.map(
            (tokens, priority) => tokens + (own[priority] ?? 0),
          )
        : own,
      runningStreams: Math.max(load.runningStreams, ledger.requestCountOn(id)),
      freeTokens: memoryTokens - held,
      ownRequests: ledger.requestCountOn(id),
    };
  }
}
