/** Classifies a response by its head. */
export enum ResponseVerdict {
  /** The backend server's response to this request. */
  Valid = 'genuine',
  /** The backend server states that it did not run the request. */
  NotRun = 'not_run',
  /**
   * The backend server rejects the request as this host has written it, and did
   * not run it.
   */
  Malformed = 'malformed',
  /** The address belongs to another backend server. */
  Misdirected = 'misdirected',
  /** Not a response to this request, or altered in transit. */
  Invalid = 'foreign',
}
