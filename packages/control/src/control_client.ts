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
/**
 * Time for which a host that did not respond is not called while others are left;
 * within the range of the election timeout (`RaftTiming`).
 */
const AVOID_MS = 500;

/** Calls a procedure on the RPC router of a control host. */
export type ControlCall<T> = (
  api: TRPCClient<ControlRouter>,
  signal: AbortSignal,
) => Promise<T>;

/**
 * Client of the control group. Calls to the leader are redirected to the
 * address that a host names as the leader's and retried on other hosts, so they
 * must be idempotent. Hosts go on naming a lost leader until they have elected
 * another one, so a host that has just not responded is avoided.
 */
export class ControlClient {
  private readonly clients = new Map<string, RpcClient<ControlRouter>>();
  private preferredAddress: string;
  /** When a call to a host last had no response. */
  private readonly failedMs = new Map<string, number>();

  /** Tries the first address first, so list near hosts before far ones. */
  constructor(
    private readonly addresses: readonly Address[],
    private readonly from?: string,
  ) {
    for (const address of addresses) this.clientFor(formatAddress(address));
    this.preferredAddress = formatAddress(addresses[0]!);
  }

  /**
   * Calls the leader. `NoQuorum` means that no leader could be reached within
   * `timeoutMs`; whether the call took effect is then unknown.
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
      const {code, field: leader} = result.error;
      if (code === ErrorCodes.NotLeader) this.failedMs.delete(target);
      else this.failedMs.set(target, monotonicMs());
      const isRedirected =
        leader !== undefined && leader !== target && !this.isAvoided(leader);
      this.preferredAddress = isRedirected ? leader : this.addressAfter(target);
      if (!isRedirected) await sleep(RETRY_DELAY_MS);
    }
    const message = `control group has no reachable leader (${last.message})`;
    return fail(new VmuxError(ErrorCodes.NoQuorum, {message, ran: last.ran}));
  }

  /** Number of control hosts in the address list. */
  get hostCount(): number {
    return this.addresses.length;
  }

  /** Calls the host at an index of the address list; 0 is the nearest. */
  callHost<T>(
    index: number,
    run: ControlCall<T>,
    timeoutMs = ATTEMPT_TIMEOUT_MS,
  ): Promise<Result<T>> {
    const address = this.addresses[index]!;
    return this.clientFor(formatAddress(address)).call(run, timeoutMs);
  }

  /** Calls the hosts in order until a call succeeds. */
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

  /** Calls every host in parallel and returns all results. */
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

  /** Returns the next address in turn, one that is not avoided if possible. */
  private addressAfter(key: string): string {
    const keys = this.addresses.map(formatAddress);
    const next = keys.indexOf(key) + 1;
    const inTurn = [...keys.slice(next), ...keys.slice(0, next)];
    return inTurn.find(other => !this.isAvoided(other)) ?? inTurn[0]!;
  }

  private isAvoided(key: string): boolean {
    const failedMs = this.failedMs.get(key) ?? -Infinity;
    return monotonicMs() - failedMs < AVOID_MS;
  }
}

function isRetryable({code}: VmuxError): boolean {
  return (
    code === ErrorCodes.NotLeader ||
    code === ErrorCodes.Timeout ||
    code === ErrorCodes.TransportFailed
  );
}
