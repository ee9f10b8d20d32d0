/** What is wrong at one place of a record chain. */
export interface ChainFault {
  readonly chain: string;
  readonly sequence: number;
  readonly reason: string;
}
