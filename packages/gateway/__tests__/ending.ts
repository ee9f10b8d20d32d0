/** How a server ends a connection. */
export enum Ending {
  Plain = 'plain end',
  Reset = 'reset',
  /** A close while a part of the request is unread. */
  CloseUnread = 'close with unread bytes',
}
