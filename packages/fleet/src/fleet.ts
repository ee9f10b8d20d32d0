import {mkdirSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import {OperatorSession} from '@vanillamux/cli';
import {
  ErrorCodes,
  fail,
  monotonicMs,
  sleep,
  succeed,
  VmuxError,
  type Address,
  type Result,
} from '@vanillamux/shared';
import {stringify} from 'yaml';
import type {FleetPlan} from './fleet_plan.js';
import {ManagedProcess} from './managed_process.js';
import {pickPorts} from './pick_ports.js';
import {TcpRelay} from './tcp_relay.js';

const LOOPBACK = '127.0.0.1';
const POLL_MS = 50;
const DEFAULT_CONTROL_HOSTS = 3;
const require = createRequire(import.meta.url);

/** A process of the fleet with its addresses. */
export interface FleetHost {
  readonly id: string;
  readonly failureDomain: string;
  /** Address that the process serves its clients on. */
  readonly address: Address;
  /** Internal address of an entry host. */
  readonly internal: Address;
  readonly process: ManagedProcess;
  /** Relay that others reach the process through, if there is one. */
  readonly relay?: TcpRelay;
}

/** A whole system as separate processes on loopback. */
export class Fleet {
  private constructor(
    readonly plan: FleetPlan,
    readonly control: readonly FleetHost[],
    readonly entries: readonly FleetHost[],
    readonly engines: readonly FleetHost[],
    readonly services: readonly FleetHost[],
  ) {}

  /** Lays out addresses and settings files; starts nothing. */
  static async create(plan: FleetPlan): Promise<Fleet> {
    mkdirSync(join(plan.folder, 'settings'), {recursive: true});
    mkdirSync(join(plan.folder, 'logs'), {recursive: true});
    const {failureDomains} = plan;
    const controlCount =
      (plan.controlHosts ?? DEFAULT_CONTROL_HOSTS) + (plan.standbyHosts ?? 0);
    const entryCount = (plan.entriesPerDomain ?? 1) * failureDomains.length;
    const engineCount = plan.engines ?? 0;
    const serviceNames = Object.entries(plan.services ?? {}).flatMap(
      ([name, count]) => new Array<string>(count).fill(name),
    );
    const total = controlCount + 2 * entryCount + engineCount;
    const ports = await choosePorts(plan, total + serviceNames.length);
    const takePort = (): Address => ({host: LOOPBACK, port: ports.shift()!});
    const host = (kind: string, index: number, id: string): FleetHost => {
      const address = takePort();
      const isEntry = kind === 'entry';
      return {
        id,
        failureDomain: failureDomains[index % failureDomains.length]!,
        address,
        internal: isEntry ? takePort() : address,
        process: createProcess(plan, kind, id),
      };
    };
    const hosts = (kind: string, count: number): FleetHost[] =>
      Array.from({length: count}, (_, index) =>
        host(kind, index, `${kind}-${index + 1}`),
      );
    const control = hosts('control', controlCount);
    const fleet = new Fleet(
      plan,
      plan.relayControl ? await addRelays(control) : control,
      hosts('entry', entryCount),
      hosts('engine', engineCount),
      serviceNames.map((name, index) =>
        host('service', index, `${name}-${index + 1}`),
      ),
    );
    fleet.writeSettings(serviceNames);
    return fleet;
  }

  /** Every process, control hosts first. */
  get hosts(): FleetHost[] {
    return [
      ...this.control,
      ...this.entries,
      ...this.engines,
      ...this.services,
    ];
  }

  /** Settings file for `vmux`. */
  get operatorFile(): string {
    return join(this.plan.folder, 'settings', 'vmux.yaml');
  }

  /** Starts every process that is not running. */
  start(): void {
    for (const {process} of this.hosts) {
      if (!process.isRunning) process.start();
    }
  }

  /** Opens an operator's connections. */
  openSession(operator = 'fleet'): OperatorSession {
    return new OperatorSession({
      operator,
      control: this.control.map(reachableAddress),
      entries: this.entries.map(({internal}) => internal),
    });
  }

  /** Waits until a condition holds; names it when it does not in time. */
  async waitFor(
    what: string,
    limitMs: number,
    check: () => Promise<boolean>,
  ): Promise<Result<void>> {
    const endMs = monotonicMs() + limitMs;
    while (monotonicMs() < endMs) {
      const ended = this.hosts.find(
        ({process}) => process.pid !== undefined && process.exitCode,
      );
      if (ended) {
        const message = `${ended.id} ended with code ${ended.process.exitCode}; see its log in ${this.plan.folder}/logs`;
        return fail(new VmuxError(ErrorCodes.Internal, {message}));
      }
      if (await check()) return succeed(undefined);
      await sleep(POLL_MS);
    }
    const message = `${what} did not happen within ${limitMs} ms`;
    return fail(new VmuxError(ErrorCodes.Timeout, {message}));
  }

  /** Ends every process, entry hosts first so that they can finish. */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<void> {
    const groups = [
      this.entries,
      [...this.engines, ...this.services],
      this.control,
    ];
    for (const group of groups) {
      await Promise.all(group.map(({process}) => process.stop(signal)));
    }
    for (const {relay} of this.control) relay?.close();
  }

  private writeSettings(serviceNames: readonly string[]): void {
    const hosts = this.control.map(host => ({
      id: host.id,
      failureDomain: host.failureDomain,
      address: reachableAddress(host),
    }));
    const size = hosts.length - (this.plan.standbyHosts ?? 0);
    for (const host of this.control) {
      this.write(host.id, {
        id: host.id,
        failureDomain: host.failureDomain,
        listen: host.address,
        ...(host.relay ? {advertise: host.relay.address} : {}),
        dataFolder: join(this.plan.folder, 'data', host.id),
        group: hosts.slice(0, size),
        standbys: hosts.slice(size),
        ...this.plan.controlSettings,
      });
    }
    for (const host of this.entries) {
      this.write(host.id, {
        id: host.id,
        failureDomain: host.failureDomain,
        listen: host.address,
        internal: host.internal,
        control: this.near(host, this.control).map(reachableAddress),
        peers: this.entries
          .filter(({id}) => id !== host.id)
          .map(({internal}) => internal),
        ...this.plan.entrySettings,
      });
    }
    for (const host of this.engines) {
      this.write(host.id, {
        ...this.announcerSettings(host),
        kind: 'model',
        models: this.plan.models ?? ['parcel-7b'],
        checksFencing: this.plan.checksFencing ?? true,
        cost: this.plan.cost ?? {},
      });
    }
    this.services.forEach((host, index) =>
      this.write(host.id, {
        ...this.announcerSettings(host),
        kind: 'service',
        service: serviceNames[index],
      }),
    );
    this.write('vmux', {
      operator: process.env['USER'] ?? 'operator',
      control: this.control.map(reachableAddress),
      entries: this.entries.map(({internal}) => internal),
    });
  }

  private announcerSettings(host: FleetHost): object {
    return {
      id: host.id,
      failureDomain: host.failureDomain,
      listen: host.address,
      entries: this.near(host, this.entries).map(({internal}) => internal),
      report: this.plan.report ?? {},
    };
  }

  /** Hosts of the same failure domain first. */
  private near(to: FleetHost, hosts: readonly FleetHost[]): FleetHost[] {
    const isNear = (host: FleetHost) => host.failureDomain === to.failureDomain;
    return [...hosts.filter(isNear), ...hosts.filter(host => !isNear(host))];
  }

  private write(id: string, settings: object): void {
    const file = join(this.plan.folder, 'settings', `${id}.yaml`);
    writeFileSync(file, stringify(settings));
  }
}

async function addRelays(hosts: readonly FleetHost[]): Promise<FleetHost[]> {
  return Promise.all(
    hosts.map(async host => ({
      ...host,
      relay: await TcpRelay.start(host.address),
    })),
  );
}

function reachableAddress({relay, address}: FleetHost): Address {
  return relay?.address ?? address;
}

async function choosePorts(plan: FleetPlan, count: number): Promise<number[]> {
  const {basePort} = plan;
  if (basePort === undefined) return pickPorts(count);
  return Array.from({length: count}, (_, index) => basePort + index);
}

function createProcess(
  plan: FleetPlan,
  kind: string,
  id: string,
): ManagedProcess {
  const packageName = kind === 'service' ? 'engine' : kind;
  const manifest = require.resolve(`@vanillamux/${packageName}`);
  const script = join(dirname(manifest), 'bin', `vmux_${packageName}.js`);
  return new ManagedProcess({
    name: id,
    script,
    args: ['--config', join(plan.folder, 'settings', `${id}.yaml`)],
    logFile: join(plan.folder, 'logs', `${id}.log`),
  });
}
