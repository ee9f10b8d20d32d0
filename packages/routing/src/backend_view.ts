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
  /** Most prompt tokens that one engine step processes. */
  readonly chunkTokens: number;
  /** Outstanding prefill tokens of all entry hosts, by engine priority. */
  readonly prefillByPriority: readonly number[];
  /** Streams that it runs, as far as reported, this host's included. */
  readonly runningStreams: number;
  /** Memory that is free by the last report and by what is in flight. */
  readonly freeTokens: number;
  /** Requests of this host in flight there. */
  readonly ownRequests: number;
}
