import type {
  ClassDeclaration,
  WorkspaceDeclaration,
} from '@vanillamux/protocol';

/** What admission looks at. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly workspace: WorkspaceDeclaration;
  readonly workClass: ClassDeclaration;
  /** Prompt tokens and the most tokens that may be generated. */
  readonly costTokens: number;
  /** Monotonic time at which the request must have finished. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}
