import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {ServerResponse} from 'node:http';
import {succeed} from '@vanillamux/shared';
import {z} from 'zod';
import {FaultKind} from './fault_kind.js';
import type {FaultInjector} from './fault_injector.js';
import {readJson} from './read_json.js';
import {sendJson} from './send_json.js';

const MAX_RECORDED_EXECUTIONS = 10_000;

const faultSchema = z.object({
  kind: z.nativeEnum(FaultKind),
  durationMs: z.number().positive().default(1_000),
});

/** A request that a mock service has executed. */
interface Execution {
  readonly number: number;
  readonly method: string;
  readonly path: string;
  readonly body: unknown;
}

/** Creates a mock plain service that numbers and records its requests. */
export function createServiceServer(id: string, faults: FaultInjector): Server {
  const executions: Execution[] = [];
  return createServer((req, res) => {
    void handleRequest(req, res, id, faults, executions);
  });
}

async function handleRequest(
  req: IncomingMessage,
  res: ServerResponse,
  id: string,
  faults: FaultInjector,
  executions: Execution[],
): Promise<void> {
  const json = req.method === 'GET' ? succeed(undefined) : await readJson(req);
  if (!json.ok)
    return sendJson(res, json.error.status, {error: json.error.toBody()});
  const body = json.value;
  if (req.url === '/executions') return sendJson(res, 200, executions);
  if (req.url === '/faults') {
    const fault = faultSchema.safeParse(body);
    if (!fault.success) return sendJson(res, 400, {error: fault.error.issues});
    faults.inject(fault.data.kind, fault.data.durationMs);
    return sendJson(res, 200, {injected: fault.data.kind});
  }
  await faults.waitUntilInactive(FaultKind.Stall);
  const number = executions.length + 1;
  if (number <= MAX_RECORDED_EXECUTIONS) {
    executions.push({
      number,
      method: req.method ?? '',
      path: req.url ?? '',
      body,
    });
  }
  if (faults.isActive(FaultKind.DropResponse)) {
    res.destroy();
    return;
  }
  await faults.waitUntilInactive(FaultKind.DelayResponses);
  sendJson(res, 200, {service: id, number, path: req.url, body});
}
