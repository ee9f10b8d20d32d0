/** Deterministic state machine that applies the committed commands. */
export abstract class StateMachine {
  /** Applies a committed command and returns the result for its proposer. */
  abstract apply(command: string, index: number): unknown;
  /** Serializes the whole state. */
  abstract snapshot(): string;
  /** Replaces the whole state with a serialized one. */
  abstract restore(snapshot: string): void;
}
