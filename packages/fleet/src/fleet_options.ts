/** Cost settings of stand-in engines; see the settings of `vmux-engine`. */
export type EngineCostOverrides = Readonly<Record<string, number>>;

/** Processes of a `Fleet` and their settings. */
export interface FleetOptions {
  /** Folder for settings, logs and data. */
  readonly folder: string;
  readonly failureDomains: readonly string[];
  readonly controlHostCount?: number;
  /** Control hosts outside the group that can replace a lost voter. */
  readonly standbyHostCount?: number;
  readonly entryHostsPerDomain?: number;
  readonly engineCount?: number;
  readonly models?: readonly string[];
  readonly engineCost?: EngineCostOverrides;
  readonly reportSettings?: Readonly<Record<string, number>>;
  /** Number of stand-in processes by service name. */
  readonly serviceCounts?: Readonly<Record<string, number>>;
  /** Whether a relay that can drop traffic fronts each control host. */
  readonly hasControlRelays?: boolean;
  /** First of consecutive ports; if absent, free ports are used. */
  readonly basePort?: number;
  /** Additional settings for every entry host. */
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  /** Additional settings for every control host. */
  readonly controlSettings?: Readonly<Record<string, unknown>>;
  /** Whether engines check fencing numbers. */
  readonly checksFencing?: boolean;
}
