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

const DEFAULT_DEADLINE_MS = 3_000;
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
  private preferred: string;

  /** The first address is tried first, so list near hosts before far ones. */
  constructor(
    private readonly addresses: readonly Address[],
    private readonly from?: string,
  ) {
    for (const address of addresses) this.clientOf(formatAddress(address));
    this.preferred = formatAddress(addresses[0]!);
  }

  /**
   * Calls the leader. `NoQuorum` means that no leader could be reached within
   * `deadlineMs`; whether the call took effect is then unknown.
   */
  async callLeader<T>(
    run: ControlCall<T>,
    deadlineMs = DEFAULT_DEADLINE_MS,
  ): Promise<Result<T>> {
    const endMs = monotonicMs() + deadlineMs;
    let last = new VmuxError(ErrorCodes.NoQuorum);
    while (monotonicMs() < endMs) {
      const target = this.preferred;
      const timeoutMs = Math.min(ATTEMPT_TIMEOUT_MS, endMs - monotonicMs());
      const result = await this.clientOf(target).call(
        run,
        Math.max(1, Math.ceil(timeoutMs)),
      );
      if (result.ok) return result;
      if (!isRetryable(result.error)) return result;
      last = result.error;
      this.preferred = result.error.field ?? this.after(target);
      if (this.preferred === target || !result.error.field) {
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
  callAt<T>(
    place: number,
    run: ControlCall<T>,
    timeoutMs = ATTEMPT_TIMEOUT_MS,
  ): Promise<Result<T>> {
    const address = this.addresses[place]!;
    return this.clientOf(formatAddress(address)).call(run, timeoutMs);
  }

  /** Calls one host after the other until one answers. */
  async callAny<T>(
    run: ControlCall<T>,
    timeoutMs = ATTEMPT_TIMEOUT_MS,
  ): Promise<Result<T>> {
    let result: Result<T> = fail(new VmuxError(ErrorCodes.NoQuorum));
    for (const address of this.addresses) {
      result = await this.clientOf(formatAddress(address)).call(run, timeoutMs);
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
        result: await this.clientOf(formatAddress(address)).call(
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

  private clientOf(key: string): RpcClient<ControlRouter> {
    let client = this.clients.get(key);
    if (!client) {
      const address = parseAddress(key);
      client = new RpcClient<ControlRouter>({address, from: this.from});
      this.clients.set(key, client);
    }
    return client;
  }

  private after(key: string): string {
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
