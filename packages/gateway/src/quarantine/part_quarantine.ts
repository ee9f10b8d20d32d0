import type {QuarantineFact} from './quarantine_fact.js';

/** Duration of a part's first quarantine; doubles with each further one. */
const BASE_QUARANTINE_MS = 60_000;
const MAX_QUARANTINE_MS = 3_600_000;
/** Time after which a trial that has not ended may be followed by another. */
const TRIAL_TIMEOUT_MS = 15_000;
/**
 * Time after a quarantine, or after it was lifted, at which the part is
 * forgotten. Longer than a fact takes to reach every host.
 */
const FORGET_DELAY_MS = 600_000;
const MAX_ENTRIES = 256;

interface Entry {
  generation: number;
  isLifted: boolean;
  /** When a trial is due, or when the quarantine was lifted. */
  untilMs: number;
  trialStartedMs?: number;
}

/**
 * Prompt parts that crash backend servers. Requests with such a part are refused
 * until a trial is due: one request of one host is let through. Facts of other
 * hosts are merged; the newer generation wins, and in it the lifted state.
 */
export class PartQuarantine {
  private readonly entries = new Map<string, Entry>();

  /** Number of parts in quarantine. */
  get size(): number {
    return [...this.entries.values()].filter(({isLifted}) => !isLifted).length;
  }

  /** Whether the part is in quarantine. */
  has(part: string): boolean {
    return this.entries.get(part)?.isLifted === false;
  }

  /** Whether a trial of the part is due or in progress. */
  isTrialDue(part: string, nowMs: number): boolean {
    return this.has(part) && this.entries.get(part)!.untilMs <= nowMs;
  }

  /** Time until a trial of the part is due; 0 once it is. */
  remainingMs(part: string, nowMs: number): number {
    return Math.max(0, (this.entries.get(part)?.untilMs ?? 0) - nowMs);
  }

  /** Starts the part's next quarantine. */
  add(part: string, nowMs: number): QuarantineFact {
    const generation = (this.entries.get(part)?.generation ?? 0) + 1;
    const remainingMs = Math.min(
      BASE_QUARANTINE_MS * 2 ** (generation - 1),
      MAX_QUARANTINE_MS,
    );
    const fact = {part, generation, isLifted: false, remainingMs};
    this.store(fact, nowMs);
    return fact;
  }

  /** Ends the part's quarantine, as a request with it was answered. */
  lift(part: string, nowMs: number): QuarantineFact {
    const generation = this.entries.get(part)?.generation ?? 0;
    const fact = {part, generation, isLifted: true, remainingMs: 0};
    this.store(fact, nowMs);
    return fact;
  }

  /** Starts a trial unless one is in progress. Returns whether it did. */
  startTrial(part: string, nowMs: number): boolean {
    const entry = this.entries.get(part);
    if (!entry || !this.isTrialDue(part, nowMs)) return false;
    const {trialStartedMs = Number.NEGATIVE_INFINITY} = entry;
    if (nowMs - trialStartedMs < TRIAL_TIMEOUT_MS) return false;
    entry.trialStartedMs = nowMs;
    return true;
  }

  /** Merges a fact of another host. Returns whether it was news. */
  merge(fact: QuarantineFact, nowMs: number): boolean {
    const known = this.entries.get(fact.part);
    const isNews =
      !known ||
      fact.generation > known.generation ||
      (fact.generation === known.generation &&
        fact.isLifted &&
        !known.isLifted);
    if (isNews) this.store(fact, nowMs);
    return isNews;
  }

  /** Returns what this host knows, at most `limit` facts, newest first. */
  facts(nowMs: number, limit: number): QuarantineFact[] {
    this.deleteExpired(nowMs);
    return [...this.entries.entries()]
      .reverse()
      .slice(0, limit)
      .map(([part, {generation, isLifted, untilMs}]) => ({
        part,
        generation,
        isLifted,
        remainingMs: isLifted ? 0 : Math.max(0, Math.round(untilMs - nowMs)),
      }));
  }

  private store(fact: QuarantineFact, nowMs: number): void {
    const {part, generation, isLifted} = fact;
    const remainingMs = Math.min(fact.remainingMs, MAX_QUARANTINE_MS);
    this.entries.delete(part);
    this.entries.set(part, {
      generation,
      isLifted,
      untilMs: nowMs + remainingMs,
    });
    for (const oldest of this.entries.keys()) {
      if (this.entries.size <= MAX_ENTRIES) return;
      this.entries.delete(oldest);
    }
  }

  private deleteExpired(nowMs: number): void {
    for (const [part, {untilMs}] of this.entries) {
      if (nowMs - untilMs > FORGET_DELAY_MS) this.entries.delete(part);
    }
  }
}
