/** Levels of the commands that builds know, in the order of their addition. */
export enum CommandLevel {
  /** All commands before `Evacuate`. */
  Base = 0,
  Evacuate = 1,
}
