import {RaftRole} from '@vanillamux/consensus';
import type {EvacuationView} from '@vanillamux/protocol';
import {
  ErrorCodes,
  fail,
  getLogger,
  monotonicMs,
  pollIo,
  sleep,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {Caller} from './caller.js';
import {CommandKind} from './command_kind.js';
import {CommandLevel} from './command_level.js';
import type {EvacuateCommand} from './commands.js';
import type {ControlHost} from './control_host.js';
import type {EvacuationAnswer} from './evacuation_answer.js';
import type {EvacuationOrder} from './evacuation_order.js';
import {EvacuationVerdict} from './evacuation_verdict.js';
import {GroupCommandLevel} from './group_command_level.js';
import type {LeaderCaller} from './leader_caller.js';
import {LeaderOperation} from './leader_operation.js';
import {planEvacuation} from './plan_evacuation.js';
import {proposeCommand} from './propose_command.js';
import type {RevisedOrder} from './revised_order.js';

/** Shorter than the 1 s after which an operator's call tries another host. */
const ORDER_TIMEOUT_MS = 900;
/**
 * Time for the end of a connection to follow a call that was held up on its way:
 * longer than the shortest retransmission timeout of TCP, 200 ms.
 */
const LATE_END_MS = 250;
const CONFIRM_TIMEOUT_MS = 450;

const log = getLogger('evacuation');

/**
 * Empties failure domains and takes them back, on any control host. Hosts other
 * than the leader forward the call to the leader.
 *
 * An order must not undo a later one that was acknowledged, although it may be
 * read or decided late. It is therefore decided against a revision that was
 * known while its caller waited, and each acknowledged order has a revision of
 * its own.
 */
export class Evacuator {
  private readonly commandLevel: GroupCommandLevel;

  constructor(
    private readonly host: ControlHost,
    private readonly leader: LeaderCaller,
  ) {
    this.commandLevel = new GroupCommandLevel(host);
  }

  /**
   * Carries out an order; resolves once a quorum has stored it durably. After
   * an error it is unknown whether it is in force; repeating it is safe. Fails
   * with a `Timeout` once the caller has left or may have given up.
   */
  async order(
    order: EvacuationOrder,
    caller: Caller,
  ): Promise<Result<EvacuationAnswer>> {
    const readMs = monotonicMs();
    const deadlineMs = readMs + ORDER_TIMEOUT_MS - caller.unreadMs;
    const isInTime = readMs + LATE_END_MS < deadlineMs;
    if (isInTime) await sleep(LATE_END_MS, caller.signal);
    let {revision: expectedRevision} = this.known;
    for (let tries = 0; ; tries++) {
      // The end of the connection may have arrived but not been read.
      await pollIo();
      const timeoutMs = deadlineMs - monotonicMs();
      if (caller.signal.aborted || !isInTime || timeoutMs <= 0) {
        const elapsedMs = monotonicMs() - readMs;
        return rejectLate(order, caller, {elapsedMs, expectedRevision, tries});
      }
      const revised = {...order, expectedRevision};
      const result = await this.leader.run(
        LeaderOperation.Evacuate,
        () => this.orderAsLeader(revised),
        (api, signal) => api.evacuation.order.mutate(revised, {signal}),
        timeoutMs,
      );
      const isOutdated =
        result.ok && result.value.verdict === EvacuationVerdict.Outdated;
      if (!isOutdated) return result;
      expectedRevision = result.value.revision;
    }
  }

  /** Carries out an order on this host, which must be the leader. */
  async orderAsLeader(order: RevisedOrder): Promise<Result<EvacuationAnswer>> {
    const {node} = this.host;
    if (node.status().role === RaftRole.Leader) {
      const required = await this.commandLevel.require(CommandLevel.Evacuate);
      if (!required.ok) return required;
    }
    const {known} = this;
    const {revision} = known;
    if (order.expectedRevision !== revision)
      return this.confirm(EvacuationVerdict.Outdated);
    const view = planEvacuation(known, order);
    if (!view) return this.confirm(EvacuationVerdict.LimitReached);
    const result = await proposeCommand<EvacuateCommand, EvacuationAnswer>(
      node,
      // An order that changes nothing makes earlier ones void, too.
      {kind: CommandKind.Evacuate, view: {...view, revision: revision + 1}},
    );
    const isUnchanged =
      view === known &&
      result.ok &&
      result.value.verdict === EvacuationVerdict.Changed;
    if (!isUnchanged) return result;
    return succeed({...result.value, verdict: EvacuationVerdict.Unchanged});
  }

  /** What this host knows, which may be older than what the leader knows. */
  get known(): EvacuationView {
    return this.host.stateMachine.evacuation.view;
  }

  /** Reads the state on this host, which must be the leader. */
  async readAsLeader(): Promise<Result<EvacuationView>> {
    const confirmed = await this.host.node.confirmByQuorum(CONFIRM_TIMEOUT_MS);
    if (!confirmed.ok) return confirmed;
    return succeed(this.known);
  }

  /** Answers without a change, once a quorum confirms what this host knows. */
  private async confirm(
    verdict: EvacuationVerdict,
  ): Promise<Result<EvacuationAnswer>> {
    const before = this.known.revision;
    const confirmed = await this.readAsLeader();
    if (!confirmed.ok) return confirmed;
    const {revision} = confirmed.value;
    const isSame = revision === before;
    return succeed({
      verdict: isSame ? verdict : EvacuationVerdict.Outdated,
      revision,
    });
  }
}

/** What became of an order before it was rejected. */
interface LateOrder {
  /** Milliseconds since the order was read. */
  readonly elapsedMs: number;
  readonly expectedRevision: number;
  /** How often the leader has found the order outdated. */
  readonly tries: number;
}

/** Rejects an order whose caller has left or may have given up. */
function rejectLate(
  order: EvacuationOrder,
  caller: Caller,
  {elapsedMs, expectedRevision, tries}: LateOrder,
): Result<never> {
  log.info('Did not carry out an evacuation order.', {
    ...order,
    hasCallerLeft: caller.signal.aborted,
    unreadMs: Math.round(caller.unreadMs),
    elapsedMs: Math.round(elapsedMs),
    expectedRevision,
    tries,
  });
  const message = 'the caller may have given up; send the order again';
  return fail(new VmuxError(ErrorCodes.Timeout, {message}));
}
