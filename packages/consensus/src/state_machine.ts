/** The deterministic state that the log drives. */
export abstract class StateMachine {
  /** Applies a committed command and returns the answer for its proposer. */
  abstract apply(command: string, index: number): unknown;
  /** Serializes the whole state. */
  abstract snapshot(): string;
  /** Replaces the whole state by a serialized one. */
  abstract restore(snapshot: string): void;
}
