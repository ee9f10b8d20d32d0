import type {
  ClassDeclaration,
  WorkspaceDeclaration,
} from '@vanillamux/protocol';

/** Properties of a request that admission depends on. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly workspace: WorkspaceDeclaration;
  readonly workClass: ClassDeclaration;
  /** Prompt tokens plus the maximum number of output tokens. */
  readonly costTokens: number;
  /** Monotonic time by which the request must have finished. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}
