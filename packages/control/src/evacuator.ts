import {RaftRole} from '@vanillamux/consensus';
import type {EvacuationView} from '@vanillamux/protocol';
import {succeed, type Result} from '@vanillamux/shared';
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

/** Tries of an order while others change the emptied failure domains. */
const MAX_TRIES = 3;
const CONFIRM_TIMEOUT_MS = 450;

/**
 * Empties failure domains and takes them back, on any control host. Hosts other
 * than the leader forward the call to the leader.
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
   * an error it is unknown whether it is in force; repeating it is safe.
   */
  async order(order: EvacuationOrder): Promise<Result<EvacuationAnswer>> {
    let expectedRevision = this.known.revision;
    for (let tries = 1; ; tries++) {
      const revised = {...order, expectedRevision};
      const result = await this.leader.run(
        LeaderOperation.Evacuate,
        () => this.orderAsLeader(revised),
        (api, signal) => api.evacuation.order.mutate(revised, {signal}),
      );
      const isOutdated =
        result.ok && result.value.verdict === EvacuationVerdict.Outdated;
      if (!isOutdated || tries === MAX_TRIES) return result;
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
    if (view === known) return this.confirm(EvacuationVerdict.Unchanged);
    return proposeCommand<EvacuateCommand, EvacuationAnswer>(node, {
      kind: CommandKind.Evacuate,
      view,
    });
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
