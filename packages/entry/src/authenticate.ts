import type {IncomingMessage} from 'node:http';
import type {WorkspaceDeclaration} from '@vanillamux/protocol';
import {
  ErrorCodes,
  fail,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {DeclarationIndex} from './declaration_index.js';

const BEARER_PATTERN = /^Bearer\s+(\S+)$/i;

/** Finds the workspace of the API key in the Authorization header. */
export function authenticate(
  req: IncomingMessage,
  declarations: DeclarationIndex,
): Result<WorkspaceDeclaration> {
  const key = BEARER_PATTERN.exec(req.headers.authorization ?? '')?.[1];
  if (!key) return fail(new VmuxError(ErrorCodes.MissingKey));
  const workspace = declarations.findWorkspace(key);
  if (!workspace) return fail(new VmuxError(ErrorCodes.UnknownKey));
  return succeed(workspace);
}
