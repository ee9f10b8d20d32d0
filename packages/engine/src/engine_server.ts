import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {ServerResponse} from 'node:http';
import {generateRequestSchema} from '@vanillamux/protocol';
import {ErrorCodes, succeed, VmuxError} from '@vanillamux/shared';
import {z} from 'zod';
import type {FaultInjector} from './fault_injector.js';
import {FaultKind} from './fault_kind.js';
import type {MockEngine} from './mock_engine.js';
import type {OrderExecutor} from './order_executor.js';
import {readJson} from './read_json.js';
import {sendJson} from './send_json.js';
import {streamFrames} from './stream_frames.js';

const attemptSchema = z.object({
  requestId: z.string(),
  attempt: z.number().int(),
  fromIndex: z.number().int().min(0).default(0),
});
const orderSchema = z.object({fencing: z.number(), model: z.string()});
const faultSchema = z.object({
  kind: z.nativeEnum(FaultKind),
  durationMs: z.number().positive().default(1_000),
});

/** Components behind the HTTP API of a mock engine. */
export interface EngineServerOptions {
  readonly engine: MockEngine;
  readonly faults: FaultInjector;
  readonly orderExecutor: OrderExecutor;
}

/** Creates the HTTP server of a mock engine. */
export function createEngineServer(options: EngineServerOptions): Server {
  return createServer((req, res) => {
    void handleRequest(req, res, options);
  });
}

async function handleRequest(
  req: IncomingMessage,
  res: ServerResponse,
  {engine, faults, orderExecutor}: EngineServerOptions,
): Promise<void> {
  const route = `${req.method} ${req.url}`;
  const json = req.method === 'POST' ? await readJson(req) : succeed(undefined);
  if (!json.ok) return sendError(res, json.error);
  const body = json.value;
  await faults.waitUntilInactive(FaultKind.DelayResponses);
  switch (route) {
    case 'POST /v1/generate': {
      const request = generateRequestSchema.safeParse(body);
      if (!request.success) return sendBadRequest(res, request.error.message);
      const submitted = engine.submit(request.data);
      if (!submitted.ok) return sendError(res, submitted.error);
      const {deliveredTokens} = request.data;
      return streamFrames(res, submitted.value, deliveredTokens, faults);
    }
    case 'POST /v1/resume': {
      const request = attemptSchema.safeParse(body);
      if (!request.success) return sendBadRequest(res, request.error.message);
      const {requestId, attempt, fromIndex} = request.data;
      const sequence = engine.find(requestId, attempt);
      if (!sequence) return sendError(res, new VmuxError(ErrorCodes.NotFound));
      return streamFrames(res, sequence, fromIndex, faults);
    }
    case 'POST /v1/cancel': {
      const request = attemptSchema.safeParse(body);
      if (!request.success) return sendBadRequest(res, request.error.message);
      if (faults.isActive(FaultKind.DropCancel)) {
        res.destroy();
        return;
      }
      engine.cancel(request.data.requestId, request.data.attempt);
      return sendJson(res, 200, {released: true});
    }
    case 'GET /v1/holdings':
      return sendJson(res, 200, engine.listReservations());
    case 'GET /v1/load':
      return sendJson(res, 200, engine.load());
    case 'POST /v1/orders': {
      const order = orderSchema.safeParse(body);
      if (!order.success) return sendBadRequest(res, order.error.message);
      const executed = orderExecutor.execute(order.data);
      if (!executed.ok) return sendError(res, executed.error);
      return sendJson(res, 200, {models: orderExecutor.models});
    }
    case 'POST /faults': {
      const fault = faultSchema.safeParse(body);
      if (!fault.success) return sendBadRequest(res, fault.error.message);
      faults.inject(fault.data.kind, fault.data.durationMs);
      return sendJson(res, 200, {injected: fault.data.kind});
    }
    default:
      return sendError(res, new VmuxError(ErrorCodes.NotFound));
  }
}

function sendBadRequest(res: ServerResponse, message: string): void {
  sendError(res, new VmuxError(ErrorCodes.BadRequest, {message}));
}

function sendError(res: ServerResponse, error: VmuxError): void {
  sendJson(res, error.status, {error: error.toBody()});
}
