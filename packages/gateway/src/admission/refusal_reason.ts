/** Reasons for which an admission policy refuses a request. */
export enum RefusalReason {
  /** The engines' backlog would keep it past its goal. */
  Backlog = 'backlog',
  /** Others lose more for each millisecond of engine time. */
  Price = 'price',
}
