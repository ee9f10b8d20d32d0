/** Slowness of cold backend servers until one was observed. */
const PRIOR_FACTOR = 1.5;
const MAX_FACTOR = 32;
/** Weight of the newest observation. */
const WEIGHT = 0.2;

/** How much slower the cold backend servers of a service are than the others. */
export class ColdPace {
  private learnedFactor = PRIOR_FACTOR;

  /** Records how slow a cold backend server is, relative to what is declared. */
  observe(ratio: number): void {
    const observed = Math.min(MAX_FACTOR, Math.max(1, ratio));
    this.learnedFactor += WEIGHT * (observed - this.learnedFactor);
  }

  /** Factor on the times of a cold backend server; at least 1. */
  get factor(): number {
    return this.learnedFactor;
  }
}
