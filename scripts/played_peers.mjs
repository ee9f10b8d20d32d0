// The peers of a measured gateway: each polls each control host, reads its
// datagrams, and sends what the gateway would get of what it places.
import {createSocket} from 'node:dgram';
import {setTimeout} from 'node:timers';
import {RpcClient} from '@vanillamux/rpc';
import {sleep} from '@vanillamux/shared';

const HOST = '127.0.0.1';
const POLL_WAIT_MS = 5_000;
const POLL_TIMEOUT_MS = 6_500;
const RETRY_DELAY_MS = 250;
/** Incarnation and figures of the work of a short prompt. */
const PLACED_FIGURES = [1, 24, 4_960, 1_400, 200, 259, 1.7];

/** Entry hosts that this process plays; the gateway is in the first domain. */
export class PlayedPeers {
  sentNotices = 0;
  received = 0;
  receivedBytes = 0;
  #nextWork = 0;
  #turn = 0;
  #options;
  #peers;
  #ownPeers;

  constructor(options) {
    const {ports, domains, controlHosts} = options;
    this.#options = options;
    this.#peers = ports.map((port, index) => this.#open(port, index + 1));
    this.#ownPeers = this.#peers.filter(
      ({failureDomain}) => failureDomain === domains[0],
    );
    for (const peer of this.#peers)
      for (const host of controlHosts) void this.#poll(peer, host);
  }

  get size() {
    return this.#peers.length;
  }

  /** Tells the gateway that a peer has placed work, and later that it ended. */
  place() {
    const {engines, responseMs} = this.#options;
    const from = this.#peers[this.#nextWork % this.size];
    const work = `${from.id}/request-${this.#nextWork++}/1`;
    const id = `engine-${(this.#nextWork * 7) % engines}`;
    this.#sendNotice(from, work, [[id, ...PLACED_FIGURES]], []);
    setTimeout(() => this.#sendNotice(from, work, [], [id]), responseMs);
  }

  #open(port, index) {
    const {domains} = this.#options;
    const socket = createSocket('udp4');
    socket.on('message', bytes => {
      this.received++;
      this.receivedBytes += bytes.length;
    });
    socket.bind(port, HOST);
    return {
      id: `entry-${index}`,
      failureDomain: domains[index % domains.length],
      socket,
      address: {host: HOST, port},
    };
  }

  #sendNotice(from, work, placed, ended) {
    const own = from.failureDomain === this.#options.domains[0];
    // One of the own failure domain relays what comes from another one.
    const relay = !own && this.#turn++ % (this.#ownPeers.length + 1) === 0;
    const via =
      own || relay ? from : this.#ownPeers[this.#turn % this.#ownPeers.length];
    const notice = JSON.stringify({from: from.id, work, relay, placed, ended});
    via.socket.send(notice, this.#options.gatewayPort, HOST);
    this.sentNotices++;
  }

  async #poll({id, failureDomain, address}, host) {
    const port = this.#options.rpcPort;
    const client = new RpcClient({address: {host, port}, from: id});
    const entry = {id, failureDomain, address};
    let state = {registryId: '', position: 0, peersVersion: -1, version: -1};
    for (;;) {
      const request = {...state, entry, waitMs: POLL_WAIT_MS};
      const result = await client.call(
        api => api.feed.wait.query(request),
        POLL_TIMEOUT_MS,
      );
      if (result.ok) state = result.value;
      else await sleep(RETRY_DELAY_MS);
    }
  }
}
