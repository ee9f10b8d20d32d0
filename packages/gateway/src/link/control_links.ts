import {formatAddress, getLogger, type Address} from '@vanillamux/shared';
import type {EntryPeer} from '@vanillamux/protocol';
import {ControlLink, type ControlLinkOptions} from './control_link.js';
import type {LinkListener} from './link_listener.js';

const log = getLogger('control');

/** Options of `ControlLinks`. */
export interface ControlLinksOptions {
  /** This host. */
  readonly entry: EntryPeer;
  readonly seeds: readonly Address[];
  readonly listener: LinkListener;
}

/** Keeps one link to every control host, found from a few seeds. */
export class ControlLinks {
  private readonly links = new Map<string, ControlLink>();
  private readonly stopping = new AbortController();
  private seeds: readonly Address[];

  constructor(private readonly options: ControlLinksOptions) {
    this.seeds = options.seeds;
  }

  /** Starts the links to the seeds. */
  start(): void {
    for (const seed of this.seeds) this.add(seed);
  }

  /** Replaces the seeds; links to present members stay. */
  reseed(seeds: readonly Address[]): void {
    this.seeds = seeds;
    this.start();
  }

  /** Closes every link. */
  stop(): void {
    this.stopping.abort();
    for (const link of this.links.values()) link.close();
  }

  /** Follows the members that a current control host names. */
  private follow(members: readonly Address[]): void {
    for (const member of members) this.add(member);
    const kept = new Set([...members, ...this.seeds].map(formatAddress));
    for (const [key, link] of this.links) {
      if (kept.has(key)) continue;
      log.info('Left a control host that is no member any more.', {host: key});
      link.close();
      this.links.delete(key);
    }
  }

  private add(address: Address): void {
    const key = formatAddress(address);
    if (this.links.has(key) || this.stopping.signal.aborted) return;
    const options: ControlLinkOptions = {
      entry: this.options.entry,
      address,
      listener: this.options.listener,
      onMembers: members => this.follow(members),
    };
    const link = new ControlLink(options);
    this.links.set(key, link);
    void link.run();
  }
}
