import type {CrashReport} from './crash_report.js';

/**
 * Backend servers that must have ended under a part. Fewer than the five ends
 * after which the platform counts further requests.
 */
const CRASHES_TO_QUARANTINE = 3;
/** Time for which the end of a backend server counts. */
const CRASH_TTL_MS = 60_000;
/**
 * Time for which a part counts as sound after a request with it was answered.
 * A part that becomes faulty is found this much later.
 */
const SOUND_TTL_MS = 10_000;
const MAX_CRASHES = 64;
const MAX_SOUND_PARTS = 4_096;

interface Crash {
  readonly atMs: number;
  /** Position in the prompt by part. */
  readonly positionByPart: Map<string, number>;
}

/**
 * Ties the ends of backend servers to the prompt parts of the requests that they
 * had begun to answer. A part that is among them each time, and with which no
 * request was answered, explains the ends.
 */
export class CrashLedger {
  private readonly crashes = new Map<string, Crash>();
  private readonly soundMs = new Map<string, number>();

  /** Records that a backend server ended; reports of one end are merged. */
  recordCrash({backend, incarnation, parts}: CrashReport, nowMs: number): void {
    const key = `${backend}/${incarnation}`;
    const crash = this.crashes.get(key) ?? {
      atMs: nowMs,
      positionByPart: new Map<string, number>(),
    };
    parts.forEach((part, position) => crash.positionByPart.set(part, position));
    this.crashes.set(key, crash);
    deleteOldest(this.crashes, MAX_CRASHES);
  }

  /** Records that a request with these parts was answered. */
  recordSound(parts: readonly string[], nowMs: number): void {
    for (const part of parts) {
      // Deleted first, so that the map stays in the order of time.
      this.soundMs.delete(part);
      this.soundMs.set(part, nowMs);
    }
    deleteOldest(this.soundMs, MAX_SOUND_PARTS);
  }

  /** Whether a request with the part was answered lately. */
  isSound(part: string, nowMs: number): boolean {
    const soundMs = this.soundMs.get(part) ?? Number.NEGATIVE_INFINITY;
    return nowMs - soundMs < SOUND_TTL_MS;
  }

  /** Whether a backend server has ended under the part. */
  isSuspect(part: string): boolean {
    return [...this.crashes.values()].some(({positionByPart}) =>
      positionByPart.has(part),
    );
  }

  /**
   * Returns the part that explains most ends, if it explains enough. Between
   * equals, the later one in the prompt is the more specific one.
   */
  findCulprit(nowMs: number): string | undefined {
    this.deleteExpired(nowMs);
    const candidates = new Map<string, {crashes: number; position: number}>();
    for (const {positionByPart} of this.crashes.values()) {
      for (const [part, position] of positionByPart) {
        if (this.isSound(part, nowMs)) continue;
        const crashes = (candidates.get(part)?.crashes ?? 0) + 1;
        candidates.set(part, {crashes, position});
      }
    }
    const [culprit] = [...candidates.entries()]
      .filter(([, {crashes}]) => crashes >= CRASHES_TO_QUARANTINE)
      .sort(([, a], [, b]) => b.crashes - a.crashes || b.position - a.position);
    return culprit?.[0];
  }

  /** Deletes the ends that a part explains, so that no other is blamed. */
  explain(part: string): void {
    for (const [key, {positionByPart}] of this.crashes) {
      if (positionByPart.has(part)) this.crashes.delete(key);
    }
  }

  private deleteExpired(nowMs: number): void {
    for (const [key, {atMs}] of this.crashes) {
      if (nowMs - atMs > CRASH_TTL_MS) this.crashes.delete(key);
    }
  }
}

function deleteOldest<V>(map: Map<string, V>, limit: number): void {
  for (const key of map.keys()) {
    if (map.size <= limit) return;
    map.delete(key);
  }
}
