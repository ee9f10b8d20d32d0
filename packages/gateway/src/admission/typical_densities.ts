/** Routes that are remembered; the one that was not used longest makes room. */
const MAX_ROUTES = 256;
/** Requests after which an earlier one has lost most of its weight. */
const MAX_WEIGHT = 50;

interface Typical {
  count: number;
  /** Mean of the logarithms. */
  meanLog: number;
}

/**
 * Typical cost of a refusal for each millisecond of engine time, by route: the
 * geometric mean over the requests that came, whether they were admitted or not.
 */
export class TypicalDensities {
  private readonly byRoute = new Map<string, Typical>();

  /** Returns what is typical of a route; `density` for one without requests. */
  typicalOf(route: string, density: number): number {
    const typical = this.byRoute.get(route);
    return typical ? Math.exp(typical.meanLog) : density;
  }

  /** Adds a request and returns what is typical of its route. */
  add(route: string, density: number): number {
    const typical = this.byRoute.get(route) ?? {count: 0, meanLog: 0};
    typical.count = Math.min(MAX_WEIGHT, typical.count + 1);
    typical.meanLog += (Math.log(density) - typical.meanLog) / typical.count;
    this.byRoute.delete(route);
    this.byRoute.set(route, typical);
    if (this.byRoute.size > MAX_ROUTES) {
      const [oldest] = this.byRoute.keys();
      if (oldest !== undefined) this.byRoute.delete(oldest);
    }
    return Math.exp(typical.meanLog);
  }
}
