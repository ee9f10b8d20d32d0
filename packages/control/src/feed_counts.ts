/** Work of a control host for entry hosts, since its start. */
export interface FeedCounts {
  /** Polls that were answered. */
  answers: number;
  /** Times at which changes were collected for the entry hosts that wait. */
  batches: number;
  /** Times at which reports and peers were encoded, for one or many polls. */
  encodings: number;
  /** Documents that were sent. */
  documents: number;
}
