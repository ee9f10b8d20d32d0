import type {
  ClassDeclaration,
  WorkspaceDeclaration,
} from '@vanillamux/protocol';

/** A caller's request from its admission to its end. */
export interface RequestContext {
  readonly requestId: string;
  readonly workspace: WorkspaceDeclaration;
  readonly workClass: ClassDeclaration;
  /** Version of the declarations that all its decisions use. */
  readonly version: number;
  /** Routing rule or service that applies, for the record. */
  readonly rule: string;
  readonly startedMs: number;
  /** Monotonic time at which the request must have finished. */
  readonly deadlineMs: number;
  /** Aborts when the caller hangs up or the deadline passes. */
  readonly signal: AbortSignal;
}
