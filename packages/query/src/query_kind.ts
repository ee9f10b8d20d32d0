/** Kinds of statements of the query and command language. */
export enum QueryKind {
  Show = 'show',
  Explain = 'explain',
  KeyHistory = 'key_history',
  Set = 'set',
  Drain = 'drain',
  Settle = 'settle',
}
