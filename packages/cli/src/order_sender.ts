import {randomUUID} from 'node:crypto';
import type {Announcement} from '@vanillamux/protocol';
import {
  ErrorCodes,
  fail,
  monotonicMs,
  RunState,
  sleep,
  succeed,
  VmuxError,
  type Result,
  type VmuxErrorBody,
} from '@vanillamux/shared';
import {request} from 'undici';
import type {OperatorSession} from './operator_session.js';

/** Longest time that an engine may take to receive an order. */
const ORDER_TIMEOUT_MS = 2_000;
/** The lease outlives every order that was sent under it. */
const LEASE_DURATION_MS = 3 * ORDER_TIMEOUT_MS;
const MAX_LEASE_WAIT_MS = 30_000;

/** An order to load a model. */
export interface LoadOrder {
  readonly backendId: string;
  readonly model: string;
}

/**
 * Sends orders to engines under a fencing number from the control group. One
 * holder at a time has the orders of a backend server, and the next one gets
 * them only when the lease of the last, and with it every order sent under it,
 * has ended. So the order of orders also holds for engines that ignore the
 * number.
 */
export class OrderSender {
  private readonly holder = randomUUID();

  constructor(private readonly session: OperatorSession) {}

  /** Returns the fencing number under which the engine took the order. */
  async send(order: LoadOrder): Promise<Result<number>> {
    const backend = await this.findBackend(order.backendId);
    if (!backend) {
      const message = `no entry host knows a backend server ${order.backendId}`;
      return fail(new VmuxError(ErrorCodes.NotFound, {message}));
    }
    const fencingNumber = await this.acquireFencingNumber(order.backendId);
    if (!fencingNumber.ok) return fencingNumber;
    return this.postOrder(backend, order, fencingNumber.value);
  }

  private async findBackend(id: string): Promise<Announcement | undefined> {
    const backends = await this.session.collectBackends();
    return backends.find(backend => backend.id === id);
  }

  /** Waits until no other holder can still have an order under way. */
  private async acquireFencingNumber(
    backendId: string,
  ): Promise<Result<number>> {
    const deadlineMs = monotonicMs() + MAX_LEASE_WAIT_MS;
    for (;;) {
      const {holder} = this;
      const result = await this.session.control.callLeader((api, signal) =>
        api.register.fence.mutate(
          {
            commandId: randomUUID(),
            backend: backendId,
            holder,
            leaseMs: LEASE_DURATION_MS,
          },
          {signal},
        ),
      );
      if (!result.ok) return result;
      const {granted, number, waitMs} = result.value;
      if (granted) return succeed(number);
      if (monotonicMs() + waitMs > deadlineMs) {
        const message = `another holder has the orders of ${backendId}`;
        return fail(new VmuxError(ErrorCodes.StillRunning, {message}));
      }
      await sleep(waitMs + 1);
    }
  }

  private async postOrder(
    {address}: Announcement,
    {model}: LoadOrder,
    fencingNumber: number,
  ): Promise<Result<number>> {
    try {
      const {statusCode, body} = await request(
        `http://${address.host}:${address.port}/v1/orders`,
        {
          method: 'POST',
          headers: {'content-type': 'application/json'},
          body: JSON.stringify({fencing: fencingNumber, model}),
          signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
        },
      );
      if (statusCode < 300) {
        await body.dump();
        return succeed(fencingNumber);
      }
      const {error} = (await body.json()) as {error: VmuxErrorBody};
      return fail(VmuxError.fromBody(error));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return fail(
        new VmuxError(ErrorCodes.BackendFailed, {
          message: `the order's outcome is unknown: ${reason}`,
          ran: RunState.Unknown,
        }),
      );
    }
  }
}
