import type {IncomingMessage} from 'node:http';
import type {EntryPeer} from '@vanillamux/protocol';
import type {ServiceReach} from '../reach/service_reach.js';
import type {RelayRefusal} from './relay_refusal.js';
import {parseRelaySource, type RelaySource} from './relay_source.js';

/**
 * Relayed requests in progress above which further ones are refused. They take
 * the memory and the descriptors of this host's own clients.
 */
const MAX_RELAYED = 512;

/** Options of a `RelayGate`. */
export interface RelayGateOptions {
  readonly reach: Pick<ServiceReach, 'isLost'>;
  /** The entry hosts of the deployment. */
  readonly peers: () => readonly EntryPeer[];
  readonly isDraining: () => boolean;
}

/** Decides which relayed requests this host takes. */
export class RelayGate {
  private relayedCount = 0;

  constructor(private readonly options: RelayGateOptions) {}

  /**
   * Returns the host that relays a request; `undefined` unless the connection
   * comes from the address of an entry host.
   */
  identify(req: IncomingMessage): RelaySource | undefined {
    const {remoteAddress} = req.socket;
    const isPeer = this.options
      .peers()
      .some(({address}) => address.host === remoteAddress);
    return isPeer ? parseRelaySource(req.headers) : undefined;
  }

  /** Counts a relayed request until the returned function is called. */
  enter(): () => void {
    this.relayedCount++;
    return () => this.relayedCount--;
  }

  /** Whether a configuration is older than that of the relaying host. */
  isOutdated(configVersion: number, source: RelaySource): boolean {
    return configVersion < source.configVersion;
  }

  /** Returns why a relayed request is refused; `undefined` if it is taken. */
  refusal(service: string): RelayRefusal | undefined {
    const {reach, isDraining} = this.options;
    const hasLostService = reach.isLost(service);
    const refuse = (reason: string): RelayRefusal => ({reason, hasLostService});
    if (isDraining()) return refuse('this entry host is about to stop');
    if (hasLostService)
      return refuse('this entry host does not reach the service either');
    if (this.relayedCount > MAX_RELAYED)
      return refuse('this entry host relays too many requests');
    return undefined;
  }
}
