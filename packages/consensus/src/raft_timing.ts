/** Durations of the protocol in milliseconds. */
export interface RaftTiming {
  readonly heartbeatMs: number;
  /** Time without a leader after which a follower may start an election. */
  readonly electionMinMs: number;
  /** Upper bound of the random election timeout. */
  readonly electionMaxMs: number;
  readonly callTimeoutMs: number;
}

/** Timing for members with a network latency of a few milliseconds. */
export const DEFAULT_TIMING: RaftTiming = {
  heartbeatMs: 150,
  electionMinMs: 400,
  electionMaxMs: 700,
  callTimeoutMs: 300,
};
