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
import {MockEngine} from './mock_engine.js';
import {createEngineServer} from './engine_server.js';
import type {EngineSettings} from './engine_settings.js';
import {FaultInjector} from './fault_injector.js';
import {OrderExecutor} from './order_executor.js';
import {createServiceServer} from './service_server.js';

const DRAIN_TIMEOUT_MS = 60_000;
const DRAIN_POLL_INTERVAL_MS = 50;
const LEAVE_PROPAGATION_MS = 500;

const log = getLogger('engine');

/** A running stand-in engine or plain service. */
export class EngineProcess {
  private readonly stopController = new AbortController();

  private constructor(
    private readonly server: Server,
    private readonly engine: MockEngine,
    private readonly announcer: Announcer,
  ) {}

  /** Listens and starts to announce. */
  static async start(settings: EngineSettings): Promise<Result<EngineProcess>> {
    const faults = new FaultInjector();
    const orderExecutor = new OrderExecutor(
      settings.models,
      settings.checksFencing,
    );
    const engine = new MockEngine({cost: settings.cost, faults});
    const server =
      settings.kind === BackendKind.Model
        ? createEngineServer({
            engine: engine,
            faults,
            orderExecutor: orderExecutor,
          })
        : createServiceServer(settings.id, faults);
    const bound = await listen(server, settings.listen);
    if (!bound.ok) return bound;
    const announcer = new Announcer({
      settings,
      address: {host: settings.listen.host, port: bound.value},
      faults,
      readLoad: () => engine.load(),
      readModels: () => orderExecutor.models,
      drainCacheEvents: () => engine.cache.drainEvents(),
    });
    const engineProcess = new EngineProcess(server, engine, announcer);
    void engine.run(engineProcess.stopController.signal);
    void announcer.run(engineProcess.stopController.signal);
    log.info('Listening.', {port: bound.value});
    return succeed(engineProcess);
  }

  /** Announces the leave, finishes the work in hand, then stops. */
  async stop(): Promise<void> {
    this.announcer.announceLeaving();
    await sleep(LEAVE_PROPAGATION_MS);
    const deadlineMs = monotonicMs() + DRAIN_TIMEOUT_MS;
    while (
      this.engine.listReservations().length > 0 &&
      monotonicMs() < deadlineMs
    ) {
      await sleep(DRAIN_POLL_INTERVAL_MS);
    }
    this.stopController.abort();
    this.server.close();
    this.server.closeAllConnections();
  }
}
