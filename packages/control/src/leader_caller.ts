import {RaftRole} from '@vanillamux/consensus';
import {
  ErrorCodes,
  fail,
  monotonicMs,
  sleep,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {ControlCall} from './control_client.js';
import type {ControlHost} from './control_host.js';
import {PeerClients} from './peer_clients.js';

/** Shorter than the 1 s after which an operator's call tries another host. */
const TOTAL_TIMEOUT_MS = 900;
const ATTEMPT_TIMEOUT_MS = 450;
const RETRY_DELAY_MS = 40;

/**
 * Runs an operation on the leader of the group: on this host, or by a call. The
 * operation may run more than once, so it must be idempotent.
 */
export class LeaderCaller {
  private readonly peerClients: PeerClients;

  constructor(private readonly host: ControlHost) {
    this.peerClients = new PeerClients(host.settings.id);
  }

  /** Runs the operation until it succeeds, fails for good or the time is over. */
  async run<T>(
    runLocally: () => Promise<Result<T>>,
    call: ControlCall<T>,
  ): Promise<Result<T>> {
    const deadlineMs = monotonicMs() + TOTAL_TIMEOUT_MS;
    let lastResult: Result<T> = fail(new VmuxError(ErrorCodes.NoQuorum));
    while (monotonicMs() < deadlineMs) {
      const {role, leaderId, members} = this.host.node.status();
      const leader = members.find(({id}) => id === leaderId);
      if (role === RaftRole.Leader) {
        lastResult = await withTimeout(
          runLocally(),
          deadlineMs - monotonicMs(),
        );
      } else if (leader) {
        lastResult = await this.peerClients
          .get(leader.address)
          .call(call, ATTEMPT_TIMEOUT_MS);
      }
      if (lastResult.ok || !isRetryable(lastResult.error)) return lastResult;
      await sleep(RETRY_DELAY_MS);
    }
    return lastResult;
  }

  /** Closes the connections to other control hosts. */
  close(): void {
    this.peerClients.close();
  }
}

async function withTimeout<T>(
  operation: Promise<Result<T>>,
  timeoutMs: number,
): Promise<Result<T>> {
  const timer = new AbortController();
  const timedOut = sleep(timeoutMs, timer.signal).then(() =>
    fail(new VmuxError(ErrorCodes.NoQuorum)),
  );
  const result = await Promise.race([operation, timedOut]);
  timer.abort();
  return result;
}

function isRetryable({code}: VmuxError): boolean {
  return (
    code === ErrorCodes.NoQuorum ||
    code === ErrorCodes.NotLeader ||
    code === ErrorCodes.Timeout ||
    code === ErrorCodes.TransportFailed
  );
}
