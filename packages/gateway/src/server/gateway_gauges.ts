import type {PresenceState} from '@vanillamux/protocol';

/** What a gateway is asked for when its metrics are collected. */
export interface GatewayGauges {
  /** Requests that have not ended. */
  inFlight(): number;
  /** Configuration in force; -1 before the first. */
  configVersion(): number;
  /** Seconds since it came into force; 0 before the first. */
  configAgeS(): number;
  /** Control hosts that answer. */
  controlHosts(): number;
  /** Entries of the record that no control host has confirmed. */
  unacknowledgedEntries(): number;
  /** Backend servers by service and what is believed of them. */
  backends(): ReadonlyArray<{
    readonly service: string;
    readonly state: PresenceState;
    /** Whether requests avoid it after failures. */
    readonly isEjected: boolean;
  }>;
}
