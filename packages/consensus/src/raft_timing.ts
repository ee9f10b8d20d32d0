/** Durations of the protocol in milliseconds. */
export interface RaftTiming {
  readonly heartbeatMs: number;
  /** A follower that hears no leader for this long may start an election. */
  readonly electionMinMs: number;
  /** Upper bound of the random election timeout. */
  readonly electionMaxMs: number;
  readonly callTimeoutMs: number;
}

/** Timing for members a few milliseconds apart. */
export const DEFAULT_TIMING: RaftTiming = {
  heartbeatMs: 150,
  electionMinMs: 400,
  electionMaxMs: 700,
  callTimeoutMs: 300,
};
