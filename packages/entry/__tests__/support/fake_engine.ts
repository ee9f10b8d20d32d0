import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  FrameKind,
  type Frame,
  type GenerateRequest,
} from '@vanillamux/protocol';
import {ErrorCodes, VmuxError, type Address} from '@vanillamux/shared';
import type {FakeEngineBehaviour} from './fake_engine_behaviour.js';

const HEARTBEAT_INTERVAL_MS = 250;

/** Options of a `FakeEngine`. */
export interface FakeEngineOptions {
  readonly id: string;
  readonly behaviour: FakeEngineBehaviour;
  /** Called with `ID PATH` of each call, in the order of arrival. */
  readonly onCall: (call: string) => void;
}

/** An HTTP server with the API of an engine and a fixed behaviour. */
export class FakeEngine {
  private readonly server: Server;
  private readonly requests = new Map<string, GenerateRequest>();
  private connections = 0;

  constructor(private readonly options: FakeEngineOptions) {
    this.server = createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.on('end', () => {
        const body = JSON.parse(Buffer.concat(chunks).toString()) as object;
        this.handle(req.url!, body, res);
      });
    });
  }

  get id(): string {
    return this.options.id;
  }

  async start(): Promise<Address> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    return {
      host: '127.0.0.1',
      port: (this.server.address() as AddressInfo).port,
    };
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle(url: string, body: object, res: ServerResponse): void {
    this.options.onCall(`${this.id} ${url}`);
    if (url === '/v1/cancel') {
      res.end('{}');
      return;
    }
    const {isRefusing, isMute} = this.options.behaviour;
    if (isMute) return;
    const request =
      url === '/v1/generate'
        ? (body as GenerateRequest)
        : this.requests.get((body as GenerateRequest).requestId);
    if (isRefusing || !request) {
      const error = new VmuxError(
        isRefusing ? ErrorCodes.BackendRefused : ErrorCodes.NotFound,
      );
      res.writeHead(error.status);
      res.end(JSON.stringify({error: error.toBody()}));
      return;
    }
    this.requests.set(request.requestId, request);
    const {fromIndex = request.deliveredTokens} = body as {fromIndex?: number};
    this.stream(request, fromIndex, res);
  }

  private stream(
    request: GenerateRequest,
    fromIndex: number,
    res: ServerResponse,
  ): void {
    const {
      silentConnections = 0,
      tokensBeforeSilence = 0,
      strayDoneIndex,
      isLostBeforeDone,
    } = this.options.behaviour;
    const isSilent = this.connections++ < silentConnections;
    const {requestId, attempt, maxTokens} = request;
    const endIndex = isSilent ? tokensBeforeSilence : maxTokens;
    const send = (
      fields: Pick<Frame, 'kind' | 'index'> & Partial<Frame>,
    ): void => {
      const text = fields.kind === FrameKind.Token ? `w${fields.index} ` : '';
      res.write(`${JSON.stringify({requestId, attempt, text, ...fields})}\n`);
    };
    res.writeHead(200);
    res.flushHeaders();
    if (request.segment?.holdOnly) {
      if (isSilent) return;
      send({kind: FrameKind.Ready, index: fromIndex});
      const heartbeat = setInterval(
        () => send({kind: FrameKind.Heartbeat, index: fromIndex}),
        HEARTBEAT_INTERVAL_MS,
      );
      res.on('close', () => clearInterval(heartbeat));
      return;
    }
    for (let index = fromIndex; index < endIndex; index++) {
      if (index === strayDoneIndex)
        send({kind: FrameKind.Done, index, attempt: attempt + 1});
      send({kind: FrameKind.Token, index});
    }
    if (isSilent) return;
    if (isLostBeforeDone) {
      this.requests.clear();
      res.end();
      return;
    }
    send({kind: FrameKind.Done, index: maxTokens});
    res.end();
  }
}
