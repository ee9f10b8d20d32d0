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
  private readonly peers: PeerClients;

  constructor(private readonly host: ControlHost) {
    this.peers = new PeerClients(host.settings.id);
  }

  /**
   * Publishes a document; the answer comes once a quorum holds it durably.
   * After an error it may or may not be in force; publishing the same document
   * again is safe.
   */
  publish(document: PublishedDocument): Promise<Result<PublishAnswer>> {
    return this.viaLeader(
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
    return this.viaLeader(
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
    this.peers.close();
  }

  private async viaLeader<T>(
    asLeader: () => Promise<Result<T>>,
    asFollower: (client: ReturnType<PeerClients['of']>) => Promise<Result<T>>,
  ): Promise<Result<T>> {
    const endMs = monotonicMs() + TOTAL_TIMEOUT_MS;
    let last: Result<T> = fail(new VmuxError(ErrorCodes.NoQuorum));
    while (monotonicMs() < endMs) {
      const {role, leaderId, members} = this.host.node.status();
      const leader = members.find(({id}) => id === leaderId);
      if (role === RaftRole.Leader) {
        last = await withTimeout(asLeader(), endMs - monotonicMs());
      } else if (leader) {
        last = await asFollower(this.peers.of(leader.address));
      }
      if (last.ok || !isRetryable(last.error)) return last;
      await sleep(RETRY_DELAY_MS);
    }
    return last;
  }
}

async function withTimeout<T>(
  work: Promise<Result<T>>,
  timeoutMs: number,
): Promise<Result<T>> {
  const timer = new AbortController();
  const late = sleep(timeoutMs, timer.signal).then(() =>
    fail(new VmuxError(ErrorCodes.NoQuorum)),
  );
  const result = await Promise.race([work, late]);
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
