/** Whether a request is relayed by this host, or for another one. */
export enum RelayDirection {
  Sent = 'sent',
  Received = 'received',
}
