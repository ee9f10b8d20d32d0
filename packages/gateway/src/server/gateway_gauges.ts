import type {PresenceState} from '@vanillamux/protocol';

/** Values of a gateway that are read when its metrics are collected. */
export interface GatewayGauges {
  /** Requests in flight. */
  inFlight(): number;
  /** Version of the current configuration; -1 before the first. */
  configVersion(): number;
  /** Seconds since the configuration was applied; 0 before the first. */
  configAgeS(): number;
  /** Requests in quarantine. */
  quarantinedRequests(): number;
  /** Prompt parts in quarantine. */
  quarantinedParts(): number;
  /** Backend servers that name a request limit. */
  limitedBackends(): number;
  /** Backend servers that have said that they leave. */
  leavingBackends(): number;
  /** Failure domains that an operator has emptied. */
  emptiedDomains(): number;
  /** Backend servers that are cold. */
  coldBackends(): number;
  /** Backend servers that fail more requests than others of their service. */
  failingBackends(): number;
  /** Services that the host seems to be cut off from. */
  lostServices(): number;
  /** Entry hosts that have said, or shown, that they are cut off from a service. */
  cutOffPeers(): number;
  /** Control hosts that respond. */
  controlHosts(): number;
  /** Bytes of requests' bodies that are kept. */
  heldRequestBytes(): number;
  /** Bytes of responses' bodies that are kept. */
  heldResponseBytes(): number;
  /** Bodies given up since the start because there was no room for them. */
  bodiesWithoutRoom(): number;
  /** Entries of the record that no control host has acknowledged. */
  unacknowledgedEntries(): number;
  /** Backend servers with their service and known state. */
  backends(): ReadonlyArray<{
    readonly service: string;
    readonly state: PresenceState;
    /** Whether the backend server is ejected after failures. */
    readonly isEjected: boolean;
  }>;
}
