import type {Declarations} from './declarations.js';

/** Declarations with the version number under which they were accepted. */
export interface DeclaredVersion {
  /** 0 before anything was accepted. */
  readonly version: number;
  readonly document: Declarations;
  /** Wall time of acceptance in milliseconds, for records. */
  readonly acceptedAtMs: number;
  readonly operator: string;
}
