/** A service to which a route sends a share of its requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share in relation to the other targets of the route. */
  readonly weight: number;
}
