/** What is wrong at one place of a record chain. */
export interface ChainCorruption {
  readonly chain: string;
  readonly sequence: number;
  readonly reason: string;
}
