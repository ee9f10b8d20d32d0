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

/** Backend servers sampled from each other failure domain per decision. */
const REMOTE_SAMPLE_SIZE = 5;

/** What a request requires of a backend server. */
export interface BackendRequirements {
  readonly model: string;
  /** Least total memory of the backend server, in tokens. */
  readonly memoryTokens: number;
  /** Backend servers on which this request has already failed. */
  readonly excludedIds: ReadonlySet<string>;
}

/** Options of a `BackendDirectory`. */
export interface BackendDirectoryOptions {
  readonly failureDomain: string;
  readonly table: BackendTable;
  readonly inFlightTracker: InFlightTracker;
  readonly peerLoads: PeerInFlightTracker;
  readonly health: BackendHealth;
  /** Source of the declarations in force. */
  readonly declarations: {readonly current: DeclarationIndex};
}

/** Combines membership, load and health into the views for routing. */
export class BackendDirectory {
  constructor(private readonly options: BackendDirectoryOptions) {}

  /**
   * Finds the model workers that can serve the request. Scans only the own
   * failure domain, so that the cost does not grow with the fleet; scans all of
   * them if no worker of the own one qualifies.
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

  /** Lists every model worker that can serve the request, for gangs. */
  listAllCandidates(requirements: BackendRequirements): BackendView[] {
    return this.selectUsable(this.options.table.list(), requirements);
  }

  /** Returns the most KV memory of any worker of a model, in tokens. */
  findMaxMemoryTokens(model: string): number {
    const sizes = this.options.table
      .list()
      .filter(({announcement}) => announcement.models.includes(model))
      .map(({announcement}) => announcement.memoryTokens);
    return Math.max(0, ...sizes);
  }

  /** Lists the backend servers of a plain service that accept new work. */
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

  /** Selects eligible backend servers that are healthy, or all if none is. */
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
    const {inFlightTracker, peerLoads, failureDomain} = this.options;
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
