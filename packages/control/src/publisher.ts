import type {PublishedDocument} from '@vanillamux/protocol';
import {succeed, type Result} from '@vanillamux/shared';
import {CommandKind} from './command_kind.js';
import type {PublishCommand} from './commands.js';
import type {ControlHost} from './control_host.js';
import type {LeaderCaller} from './leader_caller.js';
import {LeaderOperation} from './leader_operation.js';
import {proposeCommand} from './propose_command.js';
import type {PublishAnswer} from './publish_answer.js';

const CONFIRM_TIMEOUT_MS = 450;

/**
 * Publishes and reads the document with the highest version on any control
 * host. Hosts other than the leader forward the call to the leader.
 */
export class Publisher {
  constructor(
    private readonly host: ControlHost,
    private readonly leader: LeaderCaller,
  ) {}

  /**
   * Publishes a document; resolves once a quorum has stored it durably. After
   * an error it is unknown whether the document is in force; publishing the
   * same document again is safe.
   */
  publish(document: PublishedDocument): Promise<Result<PublishAnswer>> {
    return this.leader.run(
      LeaderOperation.Publish,
      () => this.publishAsLeader(document),
      (api, signal) => api.publication.publish.mutate(document, {signal}),
    );
  }

  /** Reads the newest document. Fails unless a quorum confirms the leader. */
  read(): Promise<Result<PublishedDocument | undefined>> {
    return this.leader.run(
      LeaderOperation.Read,
      () => this.readAsLeader(),
      (api, signal) => api.publication.read.query(undefined, {signal}),
    );
  }

  /** Publishes on this host, which must be the leader. */
  publishAsLeader(document: PublishedDocument): Promise<Result<PublishAnswer>> {
    return proposeCommand<PublishCommand, PublishAnswer>(this.host.node, {
      kind: CommandKind.Publish,
      ...document,
    });
  }

  /** Reads on this host, which must be the leader. */
  async readAsLeader(): Promise<Result<PublishedDocument | undefined>> {
    const confirmed = await this.host.node.confirmByQuorum(CONFIRM_TIMEOUT_MS);
    if (!confirmed.ok) return confirmed;
    return succeed(this.host.stateMachine.published.current);
  }
}
