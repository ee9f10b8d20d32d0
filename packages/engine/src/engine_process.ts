import type {Server} from 'node:http';
import {BackendKind} from '@vanillamux/protocol';
import {
  getLogger,
  listen,
  monotonicMs,
  sleep,
  succeed,
  type Result,
} from '@vanillamux/shared';
import {Announcer} from './announcer.js';
import {EngineModel} from './engine_model.js';
import {createEngineServer} from './engine_server.js';
import type {EngineSettings} from './engine_settings.js';
import {FaultSwitch} from './fault_switch.js';
import {OrderDesk} from './order_desk.js';
import {createServiceServer} from './service_server.js';

const DRAIN_LIMIT_MS = 60_000;
const DRAIN_CHECK_MS = 50;
const LEAVE_NOTICE_MS = 500;

const log = getLogger('engine');

/** A running stand-in engine or plain service. */
export class EngineProcess {
  private readonly stopping = new AbortController();

  private constructor(
    private readonly server: Server,
    private readonly model: EngineModel,
    private readonly announcer: Announcer,
  ) {}

  /** Listens and starts to announce. */
  static async start(settings: EngineSettings): Promise<Result<EngineProcess>> {
    const faults = new FaultSwitch();
    const orders = new OrderDesk(settings.models, settings.checksFencing);
    const model = new EngineModel({cost: settings.cost, faults});
    const server =
      settings.kind === BackendKind.Model
        ? createEngineServer({model, faults, orders})
        : createServiceServer(settings.id, faults);
    const bound = await listen(server, settings.listen);
    if (!bound.ok) return bound;
    const announcer = new Announcer({
      settings,
      address: {host: settings.listen.host, port: bound.value},
      faults,
      readLoad: () => model.load(),
      readModels: () => orders.models,
      takeCacheEvents: () => model.cache.takeEvents(),
    });
    const running = new EngineProcess(server, model, announcer);
    void model.run(running.stopping.signal);
    void announcer.run(running.stopping.signal);
    log.info('Listening.', {port: bound.value});
    return succeed(running);
  }

  /** Announces the leave, finishes the work in hand, then stops. */
  async stop(): Promise<void> {
    this.announcer.leave();
    await sleep(LEAVE_NOTICE_MS);
    const endMs = monotonicMs() + DRAIN_LIMIT_MS;
    while (this.model.holdings().length > 0 && monotonicMs() < endMs) {
      await sleep(DRAIN_CHECK_MS);
    }
    this.stopping.abort();
    this.server.close();
    this.server.closeAllConnections();
  }
}
