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
import type {FleetOptions} from './fleet_options.js';
import {ManagedProcess} from './managed_process.js';
import {findFreePorts} from './find_free_ports.js';
import {TcpRelay} from './tcp_relay.js';

const LOOPBACK = '127.0.0.1';
const POLL_MS = 50;
const DEFAULT_CONTROL_HOSTS = 3;
const require = createRequire(import.meta.url);

/** Process of a fleet, with its addresses. */
export interface FleetHost {
  readonly id: string;
  readonly failureDomain: string;
  /** Address that the process listens on for clients. */
  readonly address: Address;
  /** Internal address of an entry host; `address` for other processes. */
  readonly internalAddress: Address;
  readonly process: ManagedProcess;
  /** Relay that other processes connect through, if any. */
  readonly relay?: TcpRelay;
}

/** Complete system of separate processes on loopback. */
export class Fleet {
  private constructor(
    readonly options: FleetOptions,
    readonly controlHosts: readonly FleetHost[],
    readonly entryHosts: readonly FleetHost[],
    readonly engines: readonly FleetHost[],
    readonly serviceHosts: readonly FleetHost[],
  ) {}

  /** Assigns addresses and writes settings files without starting a process. */
  static async create(options: FleetOptions): Promise<Fleet> {
    mkdirSync(join(options.folder, 'settings'), {recursive: true});
    mkdirSync(join(options.folder, 'logs'), {recursive: true});
    const {failureDomains} = options;
    const controlCount =
      (options.controlHostCount ?? DEFAULT_CONTROL_HOSTS) +
      (options.standbyHostCount ?? 0);
    const entryCount =
      (options.entryHostsPerDomain ?? 1) * failureDomains.length;
    const engineCount = options.engineCount ?? 0;
    const serviceNames = Object.entries(options.serviceCounts ?? {}).flatMap(
      ([name, count]) => new Array<string>(count).fill(name),
    );
    const nonServicePortCount = controlCount + 2 * entryCount + engineCount;
    const ports = await allocatePorts(
      options,
      nonServicePortCount + serviceNames.length,
    );
    const nextAddress = (): Address => ({host: LOOPBACK, port: ports.shift()!});
    const createHost = (kind: string, index: number, id: string): FleetHost => {
      const address = nextAddress();
      const isEntry = kind === 'entry';
      return {
        id,
        failureDomain: failureDomains[index % failureDomains.length]!,
        address,
        internalAddress: isEntry ? nextAddress() : address,
        process: createProcess(options, kind, id),
      };
    };
    const createHosts = (kind: string, count: number): FleetHost[] =>
      Array.from({length: count}, (_, index) =>
        createHost(kind, index, `${kind}-${index + 1}`),
      );
    const controlHosts = createHosts('control', controlCount);
    const fleet = new Fleet(
      options,
      options.hasControlRelays ? await addRelays(controlHosts) : controlHosts,
      createHosts('entry', entryCount),
      createHosts('engine', engineCount),
      serviceNames.map((name, index) =>
        createHost('service', index, `${name}-${index + 1}`),
      ),
    );
    fleet.writeSettings(serviceNames);
    return fleet;
  }

  /** Every process of the fleet, control hosts first. */
  get hosts(): FleetHost[] {
    return [
      ...this.controlHosts,
      ...this.entryHosts,
      ...this.engines,
      ...this.serviceHosts,
    ];
  }

  /** Path of the settings file for `vmux`. */
  get operatorSettingsFile(): string {
    return join(this.options.folder, 'settings', 'vmux.yaml');
  }

  /** Starts every process that isn't running. */
  start(): void {
    for (const {process} of this.hosts) {
      if (!process.isRunning) process.start();
    }
  }

  /** Opens an operator session to the control and entry hosts. */
  openSession(operator = 'fleet'): OperatorSession {
    return new OperatorSession({
      operator,
      control: this.controlHosts.map(getReachableAddress),
      entries: this.entryHosts.map(({internalAddress}) => internalAddress),
    });
  }

  /**
   * Polls `check` until it returns true. Fails if a process exits with an error
   * code or the timeout expires; the timeout error names the condition.
   */
  async waitFor(
    condition: string,
    timeoutMs: number,
    check: () => Promise<boolean>,
  ): Promise<Result<void>> {
    const deadlineMs = monotonicMs() + timeoutMs;
    while (monotonicMs() < deadlineMs) {
      const exitedHost = this.hosts.find(
        ({process}) => process.pid !== undefined && process.exitCode,
      );
      if (exitedHost) {
        const message = `${exitedHost.id} ended with code ${exitedHost.process.exitCode}; see its log in ${this.options.folder}/logs`;
        return fail(new VmuxError(ErrorCodes.Internal, {message}));
      }
      if (await check()) return succeed(undefined);
      await sleep(POLL_MS);
    }
    const message = `${condition} did not happen within ${timeoutMs} ms`;
    return fail(new VmuxError(ErrorCodes.Timeout, {message}));
  }

  /**
   * Stops every process. Entry hosts stop first, so that they can complete
   * their requests while the other processes still run.
   */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<void> {
    const groups = [
      this.entryHosts,
      [...this.engines, ...this.serviceHosts],
      this.controlHosts,
    ];
    for (const group of groups) {
      await Promise.all(group.map(({process}) => process.stop(signal)));
    }
    for (const {relay} of this.controlHosts) relay?.close();
  }

  private writeSettings(serviceNames: readonly string[]): void {
    const controlMembers = this.controlHosts.map(host => ({
      id: host.id,
      failureDomain: host.failureDomain,
      address: getReachableAddress(host),
    }));
    const groupSize =
      controlMembers.length - (this.options.standbyHostCount ?? 0);
    for (const host of this.controlHosts) {
      this.writeSettingsFile(host.id, {
        id: host.id,
        failureDomain: host.failureDomain,
        listen: host.address,
        ...(host.relay ? {advertise: host.relay.address} : {}),
        dataFolder: join(this.options.folder, 'data', host.id),
        group: controlMembers.slice(0, groupSize),
        standbys: controlMembers.slice(groupSize),
        ...this.options.controlSettings,
      });
    }
    for (const host of this.entryHosts) {
      this.writeSettingsFile(host.id, {
        id: host.id,
        failureDomain: host.failureDomain,
        listen: host.address,
        internal: host.internalAddress,
        control: this.sortSameDomainFirst(host, this.controlHosts).map(
          getReachableAddress,
        ),
        peers: this.entryHosts
          .filter(({id}) => id !== host.id)
          .map(({internalAddress}) => internalAddress),
        ...this.options.entrySettings,
      });
    }
    for (const host of this.engines) {
      this.writeSettingsFile(host.id, {
        ...this.createBackendSettings(host),
        kind: 'model',
        models: this.options.models ?? ['parcel-7b'],
        checksFencing: this.options.checksFencing ?? true,
        cost: this.options.engineCost ?? {},
      });
    }
    this.serviceHosts.forEach((host, index) =>
      this.writeSettingsFile(host.id, {
        ...this.createBackendSettings(host),
        kind: 'service',
        service: serviceNames[index],
      }),
    );
    this.writeSettingsFile('vmux', {
      operator: process.env['USER'] ?? 'operator',
      control: this.controlHosts.map(getReachableAddress),
      entries: this.entryHosts.map(({internalAddress}) => internalAddress),
    });
  }

  private createBackendSettings(host: FleetHost): object {
    return {
      id: host.id,
      failureDomain: host.failureDomain,
      listen: host.address,
      entries: this.sortSameDomainFirst(host, this.entryHosts).map(
        ({internalAddress}) => internalAddress,
      ),
      report: this.options.reportSettings ?? {},
    };
  }

  /** Sorts hosts: those in the failure domain of `reference` come first. */
  private sortSameDomainFirst(
    reference: FleetHost,
    hosts: readonly FleetHost[],
  ): FleetHost[] {
    const isSameDomain = (host: FleetHost) =>
      host.failureDomain === reference.failureDomain;
    return [
      ...hosts.filter(isSameDomain),
      ...hosts.filter(host => !isSameDomain(host)),
    ];
  }

  private writeSettingsFile(id: string, settings: object): void {
    const file = join(this.options.folder, 'settings', `${id}.yaml`);
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

function getReachableAddress({relay, address}: FleetHost): Address {
  return relay?.address ?? address;
}

async function allocatePorts(
  options: FleetOptions,
  count: number,
): Promise<number[]> {
  const {basePort} = options;
  if (basePort === undefined) return findFreePorts(count);
  return Array.from({length: count}, (_, index) => basePort + index);
}

function createProcess(
  options: FleetOptions,
  kind: string,
  id: string,
): ManagedProcess {
  const packageName = kind === 'service' ? 'engine' : kind;
  const manifest = require.resolve(`@vanillamux/${packageName}`);
  const script = join(dirname(manifest), 'bin', `vmux_${packageName}.js`);
  return new ManagedProcess({
    name: id,
    script,
    args: ['--config', join(options.folder, 'settings', `${id}.yaml`)],
    logFile: join(options.folder, 'logs', `${id}.log`),
  });
}
