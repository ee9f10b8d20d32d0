import {randomUUID} from 'node:crypto';
import {getLogger, sleep} from '@vanillamux/shared';
import type {ConnectionPools} from '../connection/connection_pools.js';
import type {Dialect} from '../dialect/dialect.js';
import type {MemoryShare} from '../placement/memory_share.js';
import type {HeldMemory} from './held_memory.js';

/**
 * Lease of reserved memory. An engine frees it by itself within this time when
 * the host that asked for it dies, which is below the bound for leaked memory.
 */
const HOLD_MS = 3_500;
const RENEW_INTERVAL_MS = 1_500;
const ORDER_TIMEOUT_MS = 600;
const RELEASE_TRIES = 3;
const OK_STATUS = 200;

const log = getLogger('memory');

/** Keeps memory on several engines for requests that no engine can hold. */
export class MemoryKeeper {
  constructor(
    private readonly dialect: Dialect,
    private readonly connections: ConnectionPools,
  ) {}

  /**
   * Reserves all of the shares or none. `undefined` when an engine has no room
   * or does not answer.
   */
  async reserve(
    shares: readonly MemoryShare[],
  ): Promise<HeldMemory[] | undefined> {
    const wanted = shares.map(({backend, tokens}) => ({
      backend,
      tokens,
      ticket: randomUUID(),
    }));
    const granted = await Promise.all(
      wanted.map(memory => this.order(memory, memory.tokens)),
    );
    if (granted.every(isGranted => isGranted)) return wanted;
    log.info('Engines have no memory for a request.', {
      refused: wanted
        .filter((_, at) => !granted[at])
        .map(({backend}) => backend.presence.id)
        .join(),
    });
    // An order without an answer may have been carried out.
    this.release(wanted);
    return undefined;
  }

  /** Renews the leases until `signal` aborts, then gives the memory back. */
  async keep(held: readonly HeldMemory[], signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(RENEW_INTERVAL_MS, signal);
      if (signal.aborted) break;
      await Promise.all(held.map(memory => this.order(memory, memory.tokens)));
    }
    this.release(held);
  }

  private release(held: readonly HeldMemory[]): void {
    for (const memory of held) void this.releaseOne(memory);
  }

  private async releaseOne(memory: HeldMemory): Promise<void> {
    for (let tries = 0; tries < RELEASE_TRIES; tries++) {
      if (await this.order(memory)) return;
    }
    log.warn(
      'An engine did not confirm that it freed memory; its lease ends.',
      {
        backend: memory.backend.presence.id,
        ticket: memory.ticket,
        holdMs: HOLD_MS,
      },
    );
  }

  /** Sends one order; returns whether the engine carried it out at once. */
  private async order(memory: HeldMemory, tokens?: number): Promise<boolean> {
    const {backend, ticket} = memory;
    const {path, headers, body} = this.dialect.writeReservationCommand({
      reservationId: ticket,
      tokens,
      leaseMs: HOLD_MS,
      backendId: backend.presence.id,
    });
    const exchange = this.connections
      .poolFor(backend)
      .send({method: 'POST', path, headers, body: Buffer.from(body)});
    const timer = setTimeout(
      () => exchange.cancel('the order was not answered in time'),
      ORDER_TIMEOUT_MS,
    );
    const head = await exchange.head();
    if (head.ok) await exchange.read();
    clearTimeout(timer);
    exchange.cancel('order ended');
    return head.ok && head.value.status === OK_STATUS;
  }
}
