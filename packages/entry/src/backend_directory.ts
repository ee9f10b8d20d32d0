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
const REMOTE_SAMPLE_SIZE = 5;

/** What a request needs of a backend server. */
export interface BackendRequirements {
  readonly model: string;
  readonly memoryTokens: number;
  /** Backend servers that this request has already failed on. */
  readonly excludedIds: ReadonlySet<string>;
}

/** Options of a `BackendDirectory`. */
export interface BackendDirectoryOptions {
  readonly failureDomain: string;
  readonly table: BackendTable;
  readonly inFlightTracker: InFlightTracker;
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
  findCandidates(requirements: BackendRequirements): CandidatePool {
    const {table, failureDomain} = this.options;
    const local = this.selectUsable(table.listIn(failureDomain), requirements);
    return {
      preferred:
        local.length > 0 ? local : this.listAllCandidates(requirements),
      sampleRemote: () =>
        this.selectUsable(
          table.sampleOutside(failureDomain, REMOTE_SAMPLE_SIZE),
          requirements,
        ),
    };
  }

  /** Every model worker that can take the request, for gangs. */
  listAllCandidates(requirements: BackendRequirements): BackendView[] {
    return this.selectUsable(this.options.table.list(), requirements);
  }

  /** Largest memory of any model worker that serves a model, in tokens. */
  findMaxMemoryTokens(model: string): number {
    const sizes = this.options.table
      .list()
      .filter(({announcement}) => announcement.models.includes(model))
      .map(({announcement}) => announcement.memoryTokens);
    return Math.max(0, ...sizes);
  }

  /** Backend servers of a plain service that take new work. */
  listServiceBackends(name: string): BackendRecord[] {
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
  private selectUsable(
    records: readonly BackendRecord[],
    requirements: BackendRequirements,
  ): BackendView[] {
    const {health, declarations} = this.options;
    const {current} = declarations;
    const eligible: BackendRecord[] = [];
    const healthy: BackendRecord[] = [];
    for (const record of records) {
      const {id, kind, state, memoryTokens, models} = record.announcement;
      if (kind !== BackendKind.Model || state !== BackendState.Ready) continue;
      if (
        memoryTokens < requirements.memoryTokens ||
        !models.includes(requirements.model)
      )
        continue;
      if (requirements.excludedIds.has(id) || current.isDrained(id)) continue;
      eligible.push(record);
      if (health.isUsable(id)) healthy.push(record);
    }
    const usable = healthy.length > 0 ? healthy : eligible;
    return usable.map(record => this.createView(record));
  }

  private createView({announcement}: BackendRecord): BackendView {
    const {
      inFlightTracker: inFlightTracker,
      peerLoads,
      failureDomain,
    } = this.options;
    const {id, load, memoryTokens} = announcement;
    const ownPrefill = inFlightTracker.prefillByPriorityOn(id);
    const peerLoad = peerLoads.totalOn(id);
    const heldTokens =
      inFlightTracker.heldTokensOn(id) + (peerLoad?.heldTokens ?? 0);
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
      prefillByPriority: peerLoad
        ? peerLoad.prefillByPriority.map(
            (tokens, priority) => tokens + (ownPrefill[priority] ?? 0),
          )
        : ownPrefill,
      runningStreams: Math.max(
        load.runningStreams,
        inFlightTracker.requestCountOn(id),
      ),
      freeTokens: memoryTokens - heldTokens,
      ownRequests: inFlightTracker.requestCountOn(id),
    };
  }
}
