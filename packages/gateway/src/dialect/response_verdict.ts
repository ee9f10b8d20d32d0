/** What the head of a backend server's answer means. */
export enum ResponseVerdict {
  /** The answer of the backend server to this request. */
  Valid = 'genuine',
  /** The backend server states that it did not run the request. */
  NotRun = 'not_run',
  /** Another backend server has the address. */
  Misdirected = 'misdirected',
  /** Not an answer to this request, or altered on the way. */
  Invalid = 'foreign',
}
