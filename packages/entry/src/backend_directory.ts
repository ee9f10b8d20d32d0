import {BackendKind, BackendState} from '@vanillamux/protocol';
import type {BackendRecord, BackendTable} from '@vanillamux/membership';
import type {BackendView, InFlightLedger} from '@vanillamux/routing';
import {monotonicMs} from '@vanillamux/shared';
import type {BackendHealth} from './backend_health.js';

const MS_PER_SECOND = 1_000;

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
  readonly ledger: InFlightLedger;
  readonly health: BackendHealth;
}

/** Joins membership, own load and health into the views for routing. */
export class BackendDirectory {
  constructor(private readonly options: BackendDirectoryOptions) {}

  /** Model workers that can take the request; local ones if there are any. */
  candidates(need: BackendNeed): BackendView[] {
    const {table, health, failureDomain} = this.options;
    const usable = table
      .list()
      .filter(
        ({announcement}) =>
          announcement.kind === BackendKind.Model &&
          announcement.state === BackendState.Ready &&
          announcement.memoryTokens >= need.tokens &&
          announcement.models.includes(need.model) &&
          !need.excluded.has(announcement.id),
      );
    const healthy = usable.filter(({announcement: {id}}) =>
      health.isUsable(id),
    );
    const pool = healthy.length > 0 ? healthy : usable;
    const local = pool.filter(
      ({announcement}) => announcement.failureDomain === failureDomain,
    );
    return (local.length > 0 ? local : pool).map(record => this.view(record));
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
          announcement.state === BackendState.Ready,
      );
  }

  private view({announcement, heardMs}: BackendRecord): BackendView {
    const {ledger, failureDomain} = this.options;
    const {id, load, prefillTokensPerSecond} = announcement;
    const own = ledger.prefillOn(id);
    const ownTotal = own.reduce((sum, tokens) => sum + tokens, 0);
    const ageMs = monotonicMs() - heardMs;
    const processed = (ageMs / MS_PER_SECOND) * prefillTokensPerSecond;
    return {
      id,
      incarnation: announcement.incarnation,
      address: announcement.address,
      failureDomain: announcement.failureDomain,
      isLocal: announcement.failureDomain === failureDomain,
      memoryTokens: announcement.memoryTokens,
      prefillTokensPerSecond,
      decodeStepMs: announcement.decodeStepMs,
      othersPrefillTokens: Math.max(
        0,
        load.queuedPrefillTokens - processed - ownTotal,
      ),
      runningStreams: load.runningStreams,
      freeTokens: Math.min(
        load.freeTokens,
        announcement.memoryTokens - ledger.heldOn(id),
      ),
      ownPrefillTokens: own,
      ownRequests: ledger.requestsOn(id),
    };
  }
}
