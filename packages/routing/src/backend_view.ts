import type {Address} from '@vanillamux/shared';

/** Known state of one backend server, as routing decisions use it. */
export interface BackendView {
  readonly id: string;
  readonly incarnation: number;
  readonly address: Address;
  readonly failureDomain: string;
  /** Whether the backend server is in the failure domain of this host. */
  readonly isLocal: boolean;
  /** Total KV memory, in tokens. */
  readonly memoryTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeStepMs: number;
  /** Maximum number of prompt tokens that one engine step processes. */
  readonly chunkTokens: number;
  /** Outstanding prefill tokens of all entry hosts, by engine priority. */
  readonly prefillByPriority: readonly number[];
  /** Running streams by the last report, but at least `ownRequests`. */
  readonly runningStreams: number;
  /** Total KV memory less that of all known requests in flight, in tokens. */
  readonly freeTokens: number;
  /** Requests of this host in flight on the backend server. */
  readonly ownRequests: number;
}
