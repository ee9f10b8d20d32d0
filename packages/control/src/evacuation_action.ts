/** What an operator orders for a failure domain. */
export enum EvacuationAction {
  /** Nothing more is sent to its backend servers. */
  Begin = 'begin',
  /** Its backend servers are used again. */
  Finish = 'finish',
}
