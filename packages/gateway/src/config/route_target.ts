/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the requests, relative to the route's other targets. */
  readonly weight: number;
}
