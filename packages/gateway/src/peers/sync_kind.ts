/** Role of a notice in which a host catches up with its peers. */
export enum SyncKind {
  /** Asks for what the receiver knows. */
  Request = 'request',
  /** Contains a portion of it. */
  Reply = 'reply',
}
