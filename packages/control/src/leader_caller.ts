import {RaftRole} from '@vanillamux/consensus';
import {
  ErrorCodes,
  fail,
  getLogger,
  monotonicMs,
  sleep,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {ControlCall} from './control_client.js';
import type {ControlHost} from './control_host.js';
import {LeaderCallStage} from './leader_call_stage.js';
import type {LeaderOperation} from './leader_operation.js';
import {PeerClients} from './peer_clients.js';

/** Shorter than the 1 s after which an operator's call tries another host. */
const TOTAL_TIMEOUT_MS = 900;
const ATTEMPT_TIMEOUT_MS = 450;
const RETRY_DELAY_MS = 40;
/** Time above which a call that succeeded is logged; half of an attempt. */
const SLOW_MS = ATTEMPT_TIMEOUT_MS / 2;

const log = getLogger('leader');

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
    operation: LeaderOperation,
    runLocally: () => Promise<Result<T>>,
    call: ControlCall<T>,
    timeoutMs = TOTAL_TIMEOUT_MS,
  ): Promise<Result<T>> {
    const startedMs = monotonicMs();
    const deadlineMs = startedMs + timeoutMs;
    const stages: LeaderCallStage[] = [];
    let result: Result<T> = fail(new VmuxError(ErrorCodes.NoQuorum));
    while (monotonicMs() < deadlineMs) {
      const {role, leaderId, members} = this.host.node.status();
      const leader = members.find(({id}) => id === leaderId);
      if (role === RaftRole.Leader) {
        stages.push(LeaderCallStage.Local);
        result = await withTimeout(runLocally(), deadlineMs - monotonicMs());
      } else if (leader) {
        stages.push(LeaderCallStage.Remote);
        result = await this.peerClients
          .get(leader.address)
          .call(call, ATTEMPT_TIMEOUT_MS);
      } else {
        stages.push(LeaderCallStage.NoLeader);
      }
      if (result.ok || !isRetryable(result.error)) break;
      await sleep(RETRY_DELAY_MS);
    }
    report(operation, stages, monotonicMs() - startedMs, result);
    return result;
  }

  /** Closes the connections to other control hosts. */
  close(): void {
    this.peerClients.close();
  }
}

/** Logs a call that failed or took long. */
function report(
  operation: LeaderOperation,
  stages: readonly LeaderCallStage[],
  tookMs: number,
  result: Result<unknown>,
): void {
  if (result.ok && tookMs < SLOW_MS) return;
  const fields = {
    operation,
    stages: summarize(stages),
    tookMs: Math.round(tookMs),
  };
  if (result.ok) log.info('A call to the leader took long.', fields);
  else {
    const {code, message: reason} = result.error;
    log.warn('A call to the leader failed.', {...fields, code, reason});
  }
}

/** Names the stages in order with the number of tries that ended in each. */
function summarize(stages: readonly LeaderCallStage[]): string {
  const counts = new Map<LeaderCallStage, number>();
  for (const stage of stages) counts.set(stage, (counts.get(stage) ?? 0) + 1);
  return [...counts].map(([stage, count]) => `${stage} ${count}`).join();
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
