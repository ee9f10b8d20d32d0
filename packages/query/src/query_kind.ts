/** What a statement of the query and command language does. */
export enum QueryKind {
  Show = 'show',
  Explain = 'explain',
  KeyHistory = 'key_history',
  Set = 'set',
  Drain = 'drain',
  Settle = 'settle',
}
