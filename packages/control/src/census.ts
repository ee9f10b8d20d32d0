/** Number of backend servers of each service. */
export type BackendCounts = Readonly<Record<string, number>>;

/** What a control host that has just started remembers of backend servers. */
export interface Census {
  /** Those that entry hosts knew before the restart. */
  readonly expected: BackendCounts;
  /** Time until each of them has had the time to report, in milliseconds. */
  readonly openForMs: number;
}
