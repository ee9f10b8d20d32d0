import type {
  ClassDeclaration,
  WorkspaceDeclaration,
} from '@vanillamux/protocol';

/** What is known of a caller's request while this host processes it. */
export interface RequestContext {
  readonly requestId: string;
  readonly workspace: WorkspaceDeclaration;
  readonly workClass: ClassDeclaration;
  /** Version of the declarations that all decisions on the request use. */
  readonly version: number;
  /** Routing rule or service that applies, as stored in the record. */
  readonly rule: string;
  readonly startedMs: number;
  /** Monotonic time by which the request must have finished. */
  readonly deadlineMs: number;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
}
