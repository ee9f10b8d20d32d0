import type {IncomingMessage} from 'node:http';
import {
  ErrorCodes,
  fail,
  readBody,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {z} from 'zod';

/** Reads a JSON request body and validates it against a schema. */
export async function parseJsonBody<T extends z.ZodTypeAny>(
  req: IncomingMessage,
  schema: T,
  maxBytes: number,
): Promise<Result<z.infer<T>>> {
  const body = await readBody(req, maxBytes);
  if (!body.ok) return body;
  let json: unknown;
  try {
    json = JSON.parse(body.value.toString('utf8'));
  } catch (error) {
    const message = `request body is not JSON: ${(error as Error).message}`;
    return fail(new VmuxError(ErrorCodes.BadRequest, {message}));
  }
  const parsed = schema.safeParse(json);
  if (parsed.success) return succeed(parsed.data as z.infer<T>);
  const [issue] = parsed.error.issues;
  const field = issue?.path.join('.') ?? '';
  const message = `${field || 'body'}: ${issue?.message ?? 'not valid'}`;
  return fail(new VmuxError(ErrorCodes.BadRequest, {message, field}));
}
