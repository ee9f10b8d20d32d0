/** Internal headers of requests that one entry host relays to another. */
export enum RelayHeader {
  /** Describes the relaying host, in a relayed request. */
  Request = 'vmux-relay',
  /** A `RelayOutcome`, in a response that the receiving host made itself. */
  Outcome = 'vmux-relay-outcome',
  /** Present if the receiving host does not reach the service either. */
  LostService = 'vmux-relay-lost',
  /** Id of an entry host that may reach it, in such a response. */
  Referral = 'vmux-relay-referral',
}
