/** What a `FakeEngine` does with requests. */
export interface FakeEngineBehaviour {
  /** Number of its first connections that fall silent and stay open. */
  readonly silentConnections?: number;
  /** Index of the token before which a silent connection stops. */
  readonly tokensBeforeSilence?: number;
  /** Index of the token before which the end of a later attempt arrives. */
  readonly strayDoneIndex?: number;
  /** Whether it is lost after the last token, before the end is reported. */
  readonly isLostBeforeDone?: boolean;
  /** Whether it accepts connections and never responds. */
  readonly isMute?: boolean;
  /** Whether every request is refused. */
  readonly isRefusing?: boolean;
}
