/** What a control host promises a backend server for its report. */
export enum ReportVerdict {
  /** Entry hosts learn of it in time. */
  Accepted = 'accepted',
  /**
   * It is passed on to the entry hosts that poll this host, but others may not
   * poll it: the backend server has to tell another control host.
   */
  NotHeard = 'not_heard',
  /** It does not say which incarnation is meant, and none is known. */
  Unknown = 'unknown',
}
