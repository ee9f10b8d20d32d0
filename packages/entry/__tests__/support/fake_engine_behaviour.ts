/** What a `FakeEngine` does with requests. */
export interface FakeEngineBehaviour {
  /** Number of its first connections that fall silent and stay open. */
  readonly silentConnections?: number;
  /** Index of the token before which a silent connection stops. */
  readonly tokensBeforeSilence?: number;
  /** Whether every request is refused. */
  readonly isRefusing?: boolean;
}
