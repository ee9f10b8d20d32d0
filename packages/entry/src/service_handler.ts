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
  AtMostOnceResponse,
  AtMostOnceRunner,
} from './at_most_once_runner.js';
import {authenticate} from './authenticate.js';
import type {BackendDirectory} from './backend_directory.js';
import type {DeclarationStore} from './declaration_store.js';
import type {RequestContext} from './request_context.js';
import type {RequestManager, RequestRecordDetails} from './request_manager.js';
import {sendError} from './send_error.js';
import type {ServiceCall, ServiceClient} from './service_client.js';

const SERVICE_PATH_PATTERN = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const MAX_ATTEMPTS = 3;
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
/** Safe methods of RFC 9110, whose calls can be retried. */
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);
const RETRY_AFTER_MS = 1_000;

/** Options of a `ServiceHandler`. */
export interface ServiceHandlerOptions {
  readonly declarations: DeclarationStore;
  readonly requests: RequestManager;
  readonly directory: BackendDirectory;
  readonly serviceClient: ServiceClient;
  readonly atMostOnceRunner: AtMostOnceRunner;
  readonly maxBodyBytes: number;
}

/** A call with its idempotency key, if it is at-most-once. */
interface PreparedCall {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly key?: string;
}

/** Forwards calls under `/services/NAME/` to plain services. */
export class ServiceHandler {
  private roundRobinIndex = 0;

  constructor(private readonly options: ServiceHandlerOptions) {}

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {declarations, requests} = this.options;
    const index = declarations.current;
    const workspace = authenticate(req, index);
    if (!workspace.ok) return sendError(res, workspace.error);
    const [, name = '', path = '/', query = ''] =
      SERVICE_PATH_PATTERN.exec(req.url ?? '') ?? [];
    const service = index.findService(name);
    const workClass = service && index.findClass(service.class);
    if (!service || !workClass) {
      const message = `service "${name}" is not declared`;
      return sendError(
        res,
        new VmuxError(ErrorCodes.UnknownService, {message}),
      );
    }
    const prepared = await this.prepareCall(req, service, path, query);
    if (!prepared.ok) return sendError(res, prepared.error);
    const ctx = requests.createContext({
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
    await this.serveCall(ctx, service, call, key, res);
  }

  private async prepareCall(
    req: IncomingMessage,
    service: ServiceDeclaration,
    path: string,
    query: string,
  ): Promise<Result<PreparedCall>> {
    const method = req.method ?? 'GET';
    const isAtMostOnce = service.atMostOnce.some(
      rule => rule.method === method && matchesPath(rule.path, path),
    );
    const keyHeader = req.headers['idempotency-key'];
    const key = typeof keyHeader === 'string' ? keyHeader.trim() : '';
    if (
      isAtMostOnce &&
      (key === '' || key.length > MAX_IDEMPOTENCY_KEY_LENGTH)
    ) {
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
      key: isAtMostOnce ? key : undefined,
    });
  }

  private async serveCall(
    ctx: RequestContext,
    service: ServiceDeclaration,
    call: ServiceCall,
    key: string | undefined,
    res: ServerResponse,
  ): Promise<void> {
    const {requests} = this.options;
    const recordDetails: RequestRecordDetails = {
      target: `${service.name} ${call.method} ${call.path}`,
      idempotencyKey: key,
    };
    const permit = await requests.admit(ctx, 1, recordDetails);
    if (!permit.ok) return sendError(res, permit.error, ctx.requestId);
    const report = {backend: '', attempts: 0};
    const sendCall = () =>
      this.sendWithRetries(ctx, service, call, key !== undefined, report);
    const result = await requests.run(ctx, permit.value, async () =>
      key
        ? this.options.atMostOnceRunner.run(ctx, service, key, call, sendCall)
        : toAtMostOnceResponse(await sendCall()),
    );
    const error = result.ok ? undefined : result.error;
    requests.finish(ctx, recordDetails, {...report, error});
    if (result.ok)
      sendResponse(res, ctx.requestId, report.backend, result.value);
    else sendError(res, result.error, ctx.requestId);
  }

  /** Sends a call; retries on other backend servers only where that is safe. */
  private async sendWithRetries(
    ctx: RequestContext,
    service: ServiceDeclaration,
    call: ServiceCall,
    isAtMostOnce: boolean,
    report: {backend: string; attempts: number},
  ): Promise<Result<StoredResponse>> {
    const attemptedIds = new Set<string>();
    let result: Result<StoredResponse> = fail(
      new VmuxError(ErrorCodes.NoBackend, {
        message: `no backend server of ${service.name} is available`,
        retryAfterMs: RETRY_AFTER_MS,
      }),
    );
    while (report.attempts < MAX_ATTEMPTS && !ctx.signal.aborted) {
      const backend = this.pickBackend(service.name, attemptedIds);
      if (!backend) return result;
      attemptedIds.add(backend.id);
      report.attempts++;
      report.backend = backend.id;
      const {serviceClient} = this.options;
      result = await serviceClient.send(backend.address, call, ctx.signal);
      if (result.ok) return result;
      const didNotRun = result.error.ran === RunState.NotRun;
      const isSafeToRetry = !isAtMostOnce && SAFE_METHODS.has(call.method);
      if (!didNotRun && !isSafeToRetry) return result;
    }
    return result;
  }

  private pickBackend(
    service: string,
    attemptedIds: ReadonlySet<string>,
  ): {id: string; address: ServiceAddress} | undefined {
    const backends = this.options.directory
      .listServiceBackends(service)
      .map(({announcement}) => announcement)
      .filter(({id}) => !attemptedIds.has(id));
    if (backends.length === 0) return undefined;
    return backends[this.roundRobinIndex++ % backends.length];
  }
}

type ServiceAddress = Parameters<ServiceClient['send']>[0];

/** Whether a path equals a declared path or lies below it. */
function matchesPath(declaredPath: string, path: string): boolean {
  if (declaredPath === path) return true;
  const prefix = declaredPath.endsWith('/') ? declaredPath : `${declaredPath}/`;
  return path.startsWith(prefix);
}

function toAtMostOnceResponse(
  result: Result<StoredResponse>,
): Result<AtMostOnceResponse> {
  if (!result.ok) return result;
  return succeed({answer: result.value, replayed: false});
}

function sendResponse(
  res: ServerResponse,
  requestId: string,
  backend: string,
  {answer: response, replayed}: AtMostOnceResponse,
): void {
  res.writeHead(response.status, {
    'content-type': response.contentType,
    'x-request-id': requestId,
    'x-vmux-backend': backend,
    ...(replayed ? {'idempotent-replayed': 'true'} : {}),
  });
  res.end(Buffer.from(response.body, 'base64'));
}
