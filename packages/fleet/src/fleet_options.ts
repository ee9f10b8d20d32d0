/** Cost overrides of stand-in engines; see the settings of `vmux-engine`. */
export type EngineCostOverrides = Readonly<Record<string, number>>;

/** What a fleet of processes on this machine consists of. */
export interface FleetOptions {
  /** Folder for settings, logs and data. */
  readonly folder: string;
  readonly failureDomains: readonly string[];
  readonly controlHostCount?: number;
  /** Control hosts that may replace a lost one of the group. */
  readonly standbyHostCount?: number;
  readonly entryHostsPerDomain?: number;
  readonly engineCount?: number;
  readonly models?: readonly string[];
  readonly engineCost?: EngineCostOverrides;
  readonly reportSettings?: Readonly<Record<string, number>>;
  /** Stand-in processes per plain service. */
  readonly serviceCounts?: Readonly<Record<string, number>>;
  /** Puts a relay before each control host, to cut connections. */
  readonly hasControlRelays?: boolean;
  /** First port; free ports are picked when absent. */
  readonly basePort?: number;
  /** More settings for every entry host. */
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  /** More settings for every control host. */
  readonly controlSettings?: Readonly<Record<string, unknown>>;
  /** Whether engines check fencing numbers. */
  readonly checksFencing?: boolean;
}
