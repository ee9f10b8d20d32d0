/** An IP address and port that a process listens on or calls. */
export interface Address {
  readonly host: string;
  readonly port: number;
}
