import type {Declarations} from './declarations.js';

/** Declarations with the version number under which they were accepted. */
export interface DeclaredVersion {
  /** 0 until the first declarations are accepted. */
  readonly version: number;
  readonly document: Declarations;
  /** Wall-clock time of acceptance in milliseconds, for the history. */
  readonly acceptedAtMs: number;
  readonly operator: string;
}
