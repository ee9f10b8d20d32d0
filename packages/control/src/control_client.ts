import {RpcClient} from '@vanillamux/rpc';
import {
  ErrorCodes,
  fail,
  formatAddress,
  monotonicMs,
  parseAddress,
  sleep,
  VmuxError,
  type Address,
  type Result,
} from '@vanillamux/shared';
import type {TRPCClient} from '@trpc/client';
import type {ControlRouter} from './control_router.js';

const DEFAULT_TIMEOUT_MS = 3_000;
const ATTEMPT_TIMEOUT_MS = 700;
const RETRY_DELAY_MS = 40;

/** A call on the router of a control host. */
export type ControlCall<T> = (
  api: TRPCClient<ControlRouter>,
  signal: AbortSignal,
) => Promise<T>;

/**
 * Reaches the control group. Calls to the leader follow its hints and are
 * repeated on other hosts, so they must be idempotent.
 */
export class ControlClient {
  private readonly clients = new Map<string, RpcClient<ControlRouter>>();
  private preferredAddress: string;

  /** The first address is tried first, so list near hosts before far ones. */
  constructor(
    private readonly addresses: readonly Address[],
    private readonly from?: string,
  ) {
    for (const address of addresses) this.clientFor(formatAddress(address));
    this.preferredAddress = formatAddress(addresses[0]!);
  }

  /**
   * Calls the leader. `NoQuorum` means that no leader could be reached within
   * `deadlineMs`; whether the call took effect is then unknown.
   */
  async callLeader<T>(
    run: ControlCall<T>,
    timeoutMs = DEFAULT_TIMEOUT_MS,
  ): Promise<Result<T>> {
    const deadlineMs = monotonicMs() + timeoutMs;
    let last = new VmuxError(ErrorCodes.NoQuorum);
    while (monotonicMs() < deadlineMs) {
      const target = this.preferredAddress;
      const attemptTimeoutMs = Math.min(
        ATTEMPT_TIMEOUT_MS,
        deadlineMs - monotonicMs(),
      );
      const result = await this.clientFor(target).call(
        run,
        Math.max(1, Math.ceil(attemptTimeoutMs)),
      );
      if (result.ok) return result;
      if (!isRetryable(result.error)) return result;
      last = result.error;
      this.preferredAddress = result.error.field ?? this.addressAfter(target);
      if (this.preferredAddress === target || !result.error.field) {
        await sleep(RETRY_DELAY_MS);
      }
    }
    const message = `control group has no reachable leader (${last.message})`;
    return fail(new VmuxError(ErrorCodes.NoQuorum, {message, ran: last.ran}));
  }

  /** Number of control hosts that the client knows from its settings. */
  get hostCount(): number {
    return this.addresses.length;
  }

  /** Calls the host at a place of the list, the nearest being 0. */
  callHost<T>(
    index: number,
    run: ControlCall<T>,
    timeoutMs = ATTEMPT_TIMEOUT_MS,
  ): Promise<Result<T>> {
    const address = this.addresses[index]!;
    return this.clientFor(formatAddress(address)).call(run, timeoutMs);
  }

  /** Calls one host after the other until one answers. */
  async callAny<T>(
    run: ControlCall<T>,
    timeoutMs = ATTEMPT_TIMEOUT_MS,
  ): Promise<Result<T>> {
    let result: Result<T> = fail(new VmuxError(ErrorCodes.NoQuorum));
    for (const address of this.addresses) {
      result = await this.clientFor(formatAddress(address)).call(
        run,
        timeoutMs,
      );
      if (result.ok) return result;
    }
    return result;
  }

  /** Calls every host and returns what each said. */
  async callAll<T>(
    run: ControlCall<T>,
    timeoutMs = ATTEMPT_TIMEOUT_MS,
  ): Promise<Array<{readonly address: Address; readonly result: Result<T>}>> {
    return Promise.all(
      this.addresses.map(async address => ({
        address,
        result: await this.clientFor(formatAddress(address)).call(
          run,
          timeoutMs,
        ),
      })),
    );
  }

  /** Closes every connection. */
  close(): void {
    for (const client of this.clients.values()) client.close();
  }

  private clientFor(key: string): RpcClient<ControlRouter> {
    let client = this.clients.get(key);
    if (!client) {
      const address = parseAddress(key);
      client = new RpcClient<ControlRouter>({address, from: this.from});
      this.clients.set(key, client);
    }
    return client;
  }

  private addressAfter(key: string): string {
    const keys = this.addresses.map(formatAddress);
    return keys[(keys.indexOf(key) + 1) % keys.length]!;
  }
}

function isRetryable({code}: VmuxError): boolean {
  return (
    code === ErrorCodes.NotLeader ||
    code === ErrorCodes.Timeout ||
    code === ErrorCodes.TransportFailed
  );
}
