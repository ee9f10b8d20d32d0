import type {QuarantineFact} from './quarantine_fact.js';

/** Duration of a suspect's first quarantine; doubles with each further one. */
const BASE_QUARANTINE_MS = 60_000;
const MAX_QUARANTINE_MS = 3_600_000;
/** Time after which a trial that has not ended may be followed by another. */
const TRIAL_TIMEOUT_MS = 15_000;
/**
 * Time after a quarantine, or after it was lifted, at which the suspect
 * is forgotten. Longer than a fact takes to reach every host.
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
 * Requests and prompt parts that crash backend servers. Such a request, or one
 * with such a part, is refused until a trial is due: one of one host is let
 * through. Facts of other hosts are merged; the newer generation wins, and in it
 * the lifted state.
 */
export class SuspectQuarantine {
  private readonly entries = new Map<string, Entry>();
  private nextFact = 0;

  /** Suspects in quarantine. */
  get suspects(): string[] {
    return [...this.entries.keys()].filter(suspect => this.has(suspect));
  }

  /** Whether the suspect is in quarantine. */
  has(suspect: string): boolean {
    return this.entries.get(suspect)?.isLifted === false;
  }

  /** Whether a trial of the suspect is due or in progress. */
  isTrialDue(suspect: string, nowMs: number): boolean {
    return this.has(suspect) && this.entries.get(suspect)!.untilMs <= nowMs;
  }

  /** Time until a trial of the suspect is due; 0 once it is. */
  remainingMs(suspect: string, nowMs: number): number {
    return Math.max(0, (this.entries.get(suspect)?.untilMs ?? 0) - nowMs);
  }

  /** Starts the suspect's next quarantine. */
  add(suspect: string, nowMs: number): QuarantineFact {
    const generation = (this.entries.get(suspect)?.generation ?? 0) + 1;
    const remainingMs = Math.min(
      BASE_QUARANTINE_MS * 2 ** (generation - 1),
      MAX_QUARANTINE_MS,
    );
    const fact = {suspect, generation, isLifted: false, remainingMs};
    this.store(fact, nowMs);
    return fact;
  }

  /** Ends the quarantine of a suspect that was answered. */
  lift(suspect: string, nowMs: number): QuarantineFact {
    const generation = this.entries.get(suspect)?.generation ?? 0;
    const fact = {suspect, generation, isLifted: true, remainingMs: 0};
    this.store(fact, nowMs);
    return fact;
  }

  /** Whether a trial is due and none is in progress. */
  mayStartTrial(suspect: string, nowMs: number): boolean {
    const {trialStartedMs = Number.NEGATIVE_INFINITY} =
      this.entries.get(suspect) ?? {};
    return (
      this.isTrialDue(suspect, nowMs) &&
      nowMs - trialStartedMs >= TRIAL_TIMEOUT_MS
    );
  }

  /** Starts a trial if it may start. Returns whether it did. */
  startTrial(suspect: string, nowMs: number): boolean {
    const entry = this.entries.get(suspect);
    if (!entry || !this.mayStartTrial(suspect, nowMs)) return false;
    entry.trialStartedMs = nowMs;
    return true;
  }

  /** Merges a fact of another host. Returns whether it was news. */
  merge(fact: QuarantineFact, nowMs: number): boolean {
    const known = this.entries.get(fact.suspect);
    const isNews =
      !known ||
      fact.generation > known.generation ||
      (fact.generation === known.generation &&
        fact.isLifted &&
        !known.isLifted);
    if (isNews) this.store(fact, nowMs);
    return isNews;
  }

  /**
   * Returns at most `count` facts, the newest first; further calls return the
   * others in turn.
   */
  takeFacts(nowMs: number, count: number): QuarantineFact[] {
    this.deleteExpired(nowMs);
    const all = [...this.entries.entries()].reverse();
    const start = all.length === 0 ? 0 : this.nextFact % all.length;
    this.nextFact = start + count;
    return [...all.slice(start), ...all.slice(0, start)]
      .slice(0, count)
      .map(([suspect, {generation, isLifted, untilMs}]) => ({
        suspect,
        generation,
        isLifted,
        remainingMs: isLifted ? 0 : Math.max(0, Math.round(untilMs - nowMs)),
      }));
  }

  private store(fact: QuarantineFact, nowMs: number): void {
    const {suspect, generation, isLifted} = fact;
    const remainingMs = Math.min(fact.remainingMs, MAX_QUARANTINE_MS);
    this.entries.delete(suspect);
    this.entries.set(suspect, {
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
    for (const [suspect, {untilMs}] of this.entries) {
      if (nowMs - untilMs > FORGET_DELAY_MS) this.entries.delete(suspect);
    }
  }
}
