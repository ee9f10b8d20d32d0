/** Internal headers of requests that one entry host relays to another. */
export enum RelayHeader {
  /** Describes the relaying host, in a relayed request. */
  Request = 'vmux-relay',
  /** A `RelayOutcome`, in a response that the receiving host made itself. */
  Outcome = 'vmux-relay-outcome',
}
