/**
 * Iterations that are compared. The fastest of them counts: any iteration may
 * take long as it also processes prompts.
 */
const COMPARED_ITERATIONS = 4;
/** Time in which a slowness halves without new iterations. */
const HALF_LIFE_MS = 2_000;
/** Factor from which on an engine counts as slow. */
const MIN_FACTOR = 1.5;
const MAX_FACTOR = 32;

/** How much slower an engine is than its service declares, by its own events. */
export class EnginePace {
  private readonly ratios: number[] = [];
  private observedMs = Number.NEGATIVE_INFINITY;

  /** Records the duration of an iteration, relative to the declared one. */
  observe(ratio: number, nowMs: number): void {
    this.ratios.push(ratio);
    if (this.ratios.length > COMPARED_ITERATIONS) this.ratios.shift();
    this.observedMs = nowMs;
  }

  /** Fastest of the latest iterations; `undefined` until there are enough. */
  get ratio(): number | undefined {
    if (this.ratios.length < COMPARED_ITERATIONS) return undefined;
    return Math.min(...this.ratios, MAX_FACTOR);
  }

  /** Factor on the times of the engine; 1 unless it is known to be slow. */
  factor(nowMs: number): number {
    const {ratio} = this;
    if (ratio === undefined) return 1;
    const ageMs = Math.max(0, nowMs - this.observedMs);
    const factor = 1 + (ratio - 1) * 0.5 ** (ageMs / HALF_LIFE_MS);
    return factor < MIN_FACTOR ? 1 : factor;
  }
}
