import {
  ErrorCodes,
  fail,
  formatAddress,
  getLogger,
  VmuxError,
  type Address,
  type Result,
} from '@vanillamux/shared';
import {RecordSink, type ControlEndpoint} from '@vanillamux/control';
import type {EntryPeer, RecordEntry} from '@vanillamux/protocol';
import {ControlLink, type ControlLinkOptions} from './control_link.js';
import {FetchTurns} from './fetch_turns.js';
import type {LinkListener} from './link_listener.js';

const log = getLogger('control');

/** Options of `ControlLinks`. */
export interface ControlLinksOptions {
  /** This host. */
  readonly entry: EntryPeer;
  readonly seeds: readonly Address[];
  readonly listener: LinkListener;
}

/**
 * Keeps a link to every control host, discovered from a few seeds. The link to one
 * that has left the group stays while it responds: backend servers may still report
 * to it, and it may join again.
 */
export class ControlLinks extends RecordSink {
  private readonly failureDomains = new Map<string, string>();
  private readonly links = new Map<string, ControlLink>();
  /** Control hosts with a link that have left the group. */
  private readonly outsiders = new Set<string>();
  private readonly fetchTurns = new FetchTurns();
  private readonly stopping = new AbortController();
  private seeds: readonly Address[];

  constructor(private readonly options: ControlLinksOptions) {
    super();
    this.seeds = options.seeds;
  }

  /** Starts the links to the seeds. */
  start(): void {
    for (const seed of this.seeds) this.connect(seed);
  }

  /** Replaces the seeds; links to current members stay open. */
  replaceSeeds(seeds: readonly Address[]): void {
    this.seeds = seeds;
    this.start();
  }

  /** Closes every link. */
  stop(): void {
    this.stopping.abort();
    for (const link of this.links.values()) link.close();
  }

  /** Control hosts that respond, those in this host's failure domain first. */
  hosts(): readonly string[] {
    const own = this.options.entry.failureDomain;
    const rank = (key: string): number =>
      this.failureDomains.get(key) === own ? 0 : 1;
    return [...this.links.entries()]
      .filter(([key, link]) => link.isConnected && !this.outsiders.has(key))
      .map(([key]) => key)
      .sort((a, b) => rank(a) - rank(b) || a.localeCompare(b));
  }

  async append(
    host: string,
    entries: readonly RecordEntry[],
    timeoutMs: number,
  ): Promise<Result<void>> {
    const link = this.links.get(host);
    if (link) return link.appendRecord(entries, timeoutMs);
    return fail(new VmuxError(ErrorCodes.TransportFailed));
  }

  /** Opens and closes links so that they match the members of the group. */
  private updateMembers(members: readonly ControlEndpoint[]): void {
    const addresses = members.map(({address}) => address);
    for (const {address, failureDomain} of members) {
      this.failureDomains.set(formatAddress(address), failureDomain);
      this.connect(address);
    }
    const kept = new Set([...addresses, ...this.seeds].map(formatAddress));
    for (const [key, link] of this.links) {
      if (kept.has(key)) {
        this.outsiders.delete(key);
        continue;
      }
      if (link.isConnected) {
        this.keepOutsider(key);
        continue;
      }
      log.info('Closed the link to a control host that left the group.', {
        peer: key,
      });
      link.close();
      this.links.delete(key);
      this.outsiders.delete(key);
      this.options.listener.onControlHostLeft(key);
    }
  }

  private keepOutsider(key: string): void {
    if (this.outsiders.has(key)) return;
    this.outsiders.add(key);
    log.info(
      'A control host left the group; its link stays while it responds.',
      {
        peer: key,
      },
    );
  }

  private connect(address: Address): void {
    const key = formatAddress(address);
    if (this.links.has(key) || this.stopping.signal.aborted) return;
    const options: ControlLinkOptions = {
      entry: this.options.entry,
      address,
      listener: this.options.listener,
      fetchTurns: this.fetchTurns,
      onMembers: members => this.updateMembers(members),
    };
    const link = new ControlLink(options);
    this.links.set(key, link);
    void link.run();
  }
}
