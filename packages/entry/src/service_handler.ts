import type {IncomingMessage, ServerResponse} from 'node:http';
import type {StoredResponse} from '@vanillamux/control';
import type {ServiceDeclaration} from '@vanillamux/protocol';
import {
  ErrorCodes,
  fail,
  readBody,
  RunState,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {
  AtMostOnceAnswer,
  AtMostOnceRunner,
} from './at_most_once_runner.js';
import {authenticate} from './authenticate.js';
import type {BackendDirectory} from './backend_directory.js';
import type {DeclarationStore} from './declaration_store.js';
import type {RequestContext} from './request_context.js';
import type {RequestDesk, RequestFacts} from './request_desk.js';
import {sendError} from './send_error.js';
import type {ServiceCall, ServiceClient} from './service_client.js';

const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const MAX_ATTEMPTS = 3;
const MAX_KEY_CHARACTERS = 255;
/** Methods that RFC 9110 defines as safe to repeat. */
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);
const RETRY_AFTER_MS = 1_000;

/** What a `ServiceHandler` works with. */
export interface ServiceHandlerOptions {
  readonly declarations: DeclarationStore;
  readonly desk: RequestDesk;
  readonly directory: BackendDirectory;
  readonly client: ServiceClient;
  readonly atMostOnce: AtMostOnceRunner;
  readonly maxBodyBytes: number;
}

/** A call with its key, if it is at-most-once. */
interface PreparedCall {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly key?: string;
}

/** Serves plain services under `/services/NAME/`. */
export class ServiceHandler {
  private turn = 0;

  constructor(private readonly options: ServiceHandlerOptions) {}

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {declarations, desk} = this.options;
    const index = declarations.current;
    const workspace = authenticate(req, index);
    if (!workspace.ok) return sendError(res, workspace.error);
    const [, name = '', path = '/', query = ''] =
      SERVICE_PATH.exec(req.url ?? '') ?? [];
    const service = index.findService(name);
    const workClass = service && index.findClass(service.class);
    if (!service || !workClass) {
      const message = `service "${name}" is not declared`;
      return sendError(
        res,
        new VmuxError(ErrorCodes.UnknownService, {message}),
      );
    }
    const prepared = await this.prepare(req, service, path, query);
    if (!prepared.ok) return sendError(res, prepared.error);
    const ctx = desk.open({
      res,
      workspace: workspace.value,
      workClass,
      version: index.version,
      rule: prepared.value.key ? `${name}:at-most-once` : name,
    });
    const {method, body, key} = prepared.value;
    const call: ServiceCall = {
      method,
      path: prepared.value.path,
      headers: req.headers,
      body,
      requestId: ctx.requestId,
    };
    await this.serve(ctx, service, call, key, res);
  }

  private async prepare(
    req: IncomingMessage,
    service: ServiceDeclaration,
    path: string,
    query: string,
  ): Promise<Result<PreparedCall>> {
    const method = req.method ?? 'GET';
    const isOnce = service.atMostOnce.some(
      rule => rule.method === method && matchesPath(rule.path, path),
    );
    const header = req.headers['idempotency-key'];
    const key = typeof header === 'string' ? header.trim() : '';
    if (isOnce && (key === '' || key.length > MAX_KEY_CHARACTERS)) {
      return fail(
        new VmuxError(ErrorCodes.IdempotencyKeyRequired, {
          field: 'Idempotency-Key',
        }),
      );
    }
    const body = await readBody(req, this.options.maxBodyBytes);
    if (!body.ok) return body;
    return succeed({
      method,
      path: path + query,
      body: body.value,
      key: isOnce ? key : undefined,
    });
  }

  private async serve(
    ctx: RequestContext,
    service: ServiceDeclaration,
    call: ServiceCall,
    key: string | undefined,
    res: ServerResponse,
  ): Promise<void> {
    const {desk} = this.options;
    const facts: RequestFacts = {
      target: `${service.name} ${call.method} ${call.path}`,
      idempotencyKey: key,
    };
    const permit = await desk.admit(ctx, 1, facts);
    if (!permit.ok) return sendError(res, permit.error, ctx.requestId);
    const report = {backend: '', attempts: 0};
    const send = () => this.send(ctx, service, call, key !== undefined, report);
    const result = key
      ? await this.options.atMostOnce.run(ctx, service, key, call, send)
      : toAnswer(await send());
    permit.value.release();
    const error = result.ok ? undefined : result.error;
    desk.close(ctx, facts, {...report, error});
    if (result.ok) sendAnswer(res, ctx.requestId, report.backend, result.value);
    else sendError(res, result.error, ctx.requestId);
  }

  /** Sends a call; tries another backend server only where that is safe. */
  private async send(
    ctx: RequestContext,
    service: ServiceDeclaration,
    call: ServiceCall,
    isOnce: boolean,
    report: {backend: string; attempts: number},
  ): Promise<Result<StoredResponse>> {
    const tried = new Set<string>();
    let result: Result<StoredResponse> = fail(
      new VmuxError(ErrorCodes.NoBackend, {
        message: `no backend server of ${service.name} is available`,
        retryAfterMs: RETRY_AFTER_MS,
      }),
    );
    while (report.attempts < MAX_ATTEMPTS && !ctx.signal.aborted) {
      const backend = this.pick(service.name, tried);
      if (!backend) return result;
      tried.add(backend.id);
      report.attempts++;
      report.backend = backend.id;
      const {client} = this.options;
      result = await client.send(backend.address, call, ctx.signal);
      if (result.ok) return result;
      const notRun = result.error.ran === RunState.NotRun;
      const repeatable = !isOnce && SAFE_METHODS.has(call.method);
      if (!notRun && !repeatable) return result;
    }
    return result;
  }

  private pick(
    service: string,
    tried: ReadonlySet<string>,
  ): {id: string; address: ServiceAddress} | undefined {
    const backends = this.options.directory
      .services(service)
      .map(({announcement}) => announcement)
      .filter(({id}) => !tried.has(id));
    if (backends.length === 0) return undefined;
    return backends[this.turn++ % backends.length];
  }
}

type ServiceAddress = Parameters<ServiceClient['send']>[0];

/** A declared path covers itself and everything below it. */
function matchesPath(declared: string, path: string): boolean {
  if (declared === path) return true;
  const prefix = declared.endsWith('/') ? declared : `${declared}/`;
  return path.startsWith(prefix);
}

function toAnswer(result: Result<StoredResponse>): Result<AtMostOnceAnswer> {
  if (!result.ok) return result;
  return succeed({answer: result.value, replayed: false});
}

function sendAnswer(
  res: ServerResponse,
  requestId: string,
  backend: string,
  {answer, replayed}: AtMostOnceAnswer,
): void {
  res.writeHead(answer.status, {
    'content-type': answer.contentType,
    'x-request-id': requestId,
    'x-vmux-backend': backend,
    ...(replayed ? {'idempotent-replayed': 'true'} : {}),
  });
  res.end(Buffer.from(answer.body, 'base64'));
}
