import {RaftRole} from '@vanillamux/consensus';
import type {PublishedDocument} from '@vanillamux/protocol';
import {
  ErrorCodes,
  fail,
  monotonicMs,
  sleep,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import {CommandKind} from './command_kind.js';
import type {PublishCommand} from './commands.js';
import type {ControlHost} from './control_host.js';
import {PeerClients} from './peer_clients.js';
import {proposeCommand} from './propose_command.js';
import type {PublishAnswer} from './publish_answer.js';

/** An operator's call moves on to another host after one second. */
const TOTAL_TIMEOUT_MS = 900;
const ATTEMPT_TIMEOUT_MS = 450;
const RETRY_DELAY_MS = 40;

/**
 * Publishes and reads the document with the highest version on any control
 * host: the leader does it, other hosts ask the leader.
 */
export class Publisher {
  private readonly peerClients: PeerClients;

  constructor(private readonly host: ControlHost) {
    this.peerClients = new PeerClients(host.settings.id);
  }

  /**
   * Publishes a document; the answer comes once a quorum holds it durably.
   * After an error it may or may not be in force; publishing the same document
   * again is safe.
   */
  publish(document: PublishedDocument): Promise<Result<PublishAnswer>> {
    return this.runOnLeader(
      () => this.publishAsLeader(document),
      client =>
        client.call(
          (api, signal) => api.publication.publish.mutate(document, {signal}),
          ATTEMPT_TIMEOUT_MS,
        ),
    );
  }

  /** Reads the newest document, or fails when the host cannot be sure of it. */
  read(): Promise<Result<PublishedDocument | undefined>> {
    return this.runOnLeader(
      () => this.readAsLeader(),
      client =>
        client.call(
          (api, signal) => api.publication.read.query(undefined, {signal}),
          ATTEMPT_TIMEOUT_MS,
        ),
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
    const confirmed = await this.host.node.confirmByQuorum(ATTEMPT_TIMEOUT_MS);
    if (!confirmed.ok) return confirmed;
    return succeed(this.host.stateMachine.published.current);
  }

  /** Closes the connections to other control hosts. */
  close(): void {
    this.peerClients.close();
  }

  private async runOnLeader<T>(
    runLocally: () => Promise<Result<T>>,
    callLeader: (client: ReturnType<PeerClients['get']>) => Promise<Result<T>>,
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
        lastResult = await callLeader(this.peerClients.get(leader.address));
      }
      if (lastResult.ok || !isRetryable(lastResult.error)) return lastResult;
      await sleep(RETRY_DELAY_MS);
    }
    return lastResult;
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
