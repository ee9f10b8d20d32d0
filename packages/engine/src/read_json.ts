import type {IncomingMessage} from 'node:http';
import {readBody, succeed, type Result} from '@vanillamux/shared';

/** Four times the largest request body that an entry host accepts by default. */
const MAX_BODY_BYTES = 64 * 1_024 * 1_024;

/**
 * Reads a JSON body; its value is `undefined` if it is not valid JSON. Fails as
 * `readBody` does.
 */
export async function readJson(req: IncomingMessage): Promise<Result<unknown>> {
  const body = await readBody(req, MAX_BODY_BYTES);
  if (!body.ok) return body;
  try {
    return succeed(JSON.parse(body.value.toString('utf8')) as unknown);
  } catch {
    return succeed(undefined);
  }
}
