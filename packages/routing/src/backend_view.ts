import type {Address} from '@vanillamux/shared';

/** What a routing decision sees of one backend server. */
export interface BackendView {
  readonly id: string;
  readonly incarnation: number;
  readonly address: Address;
  readonly failureDomain: string;
  /** Whether it is in the failure domain of the deciding host. */
  readonly isLocal: boolean;
  readonly memoryTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeStepMs: number;
  /** Prefill tokens that others have queued there, as far as reported. */
  readonly othersPrefillTokens: number;
  /** Streams that it runs, as far as reported, this host's included. */
  readonly runningStreams: number;
  /** Memory that is free by the last report, less what was sent since. */
  readonly freeTokens: number;
  /** Prefill tokens of this host's requests, by engine priority. */
  readonly ownPrefillTokens: readonly number[];
  /** Requests of this host in flight there. */
  readonly ownRequests: number;
}
