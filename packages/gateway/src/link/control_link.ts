import type {
  BackendCounts,
  ControlEndpoint,
  ControlRouter,
  FeedContent,
  FeedUpdate,
  PackedDocument,
} from '@vanillamux/control';
import type {
  EntryPeer,
  PublishedDocument,
  RecordEntry,
} from '@vanillamux/protocol';
import {RpcClient, unpackJson} from '@vanillamux/rpc';
import {
  formatAddress,
  getLogger,
  monotonicMs,
  sleep,
  succeed,
  type Address,
  type Result,
} from '@vanillamux/shared';
import type {FetchTurns} from './fetch_turns.js';
import type {LinkListener} from './link_listener.js';

/** How long a control host holds a poll while it has no update. */
const POLL_WAIT_MS = 5_000;
/** Time beyond the wait of a poll after which the connection counts as lost. */
const POLL_TIMEOUT_MARGIN_MS = 1_500;
const RETRY_DELAY_MS = 250;
/** Time after which a control host is told again how many servers are known. */
const COUNT_INTERVAL_MS = 2_000;
const DOCUMENT_TIMEOUT_MS = 1_500;

const log = getLogger('control');

/** Options of a `ControlLink`. */
export interface ControlLinkOptions {
  /** This host. */
  readonly entry: EntryPeer;
  readonly address: Address;
  readonly listener: LinkListener;
  /** Shared by all links of this host. */
  readonly fetchTurns: FetchTurns;
  /** Receives the members of the group, as a current control host has them. */
  readonly onMembers: (members: readonly ControlEndpoint[]) => void;
}

/** Polls one control host for updates. */
export class ControlLink {
  private readonly client: RpcClient<ControlRouter>;
  private readonly stopping = new AbortController();
  private registryId = '';
  private position = 0;
  private peersVersion = -1;
  /** List of members that this control host has told, by its log index. */
  private membersIndex?: number;
  private isResponding = false;
  /** When the known backend servers were last counted for this control host. */
  private countedMs = -Infinity;

  constructor(private readonly options: ControlLinkOptions) {
    const {address, entry} = options;
    this.client = new RpcClient<ControlRouter>({address, from: entry.id});
  }

  /** Polls until the link is closed. */
  async run(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const succeeded = await this.poll();
      if (!succeeded) await this.waitToRetry();
    }
  }

  /** Whether the last poll succeeded. */
  get isConnected(): boolean {
    return this.isResponding;
  }

  /** Stores entries of the record on the control host. */
  appendRecord(
    entries: readonly RecordEntry[],
    timeoutMs: number,
  ): Promise<Result<void>> {
    return this.client.call(
      (api, signal) => api.record.append.mutate([...entries], {signal}),
      timeoutMs,
    );
  }

  /** Stops polling and closes the connection. */
  close(): void {
    this.stopping.abort();
    this.client.close();
  }

  private async poll(): Promise<boolean> {
    const {entry, listener} = this.options;
    const {registryId, position, peersVersion} = this;
    // The first poll, and one after a failure, returns at once with what the
    // host already has.
    const waitMs = this.isResponding ? POLL_WAIT_MS : 0;
    const request = {entry, registryId, position, peersVersion, waitMs};
    const result = await this.client.call(
      (api, signal) =>
        api.feed.wait.query(
          {
            ...request,
            version: listener.version,
            evacuationRevision: listener.evacuationRevision,
            knownBackends: this.takeCounts(),
            membersIndex: this.membersIndex,
            readsPacked: true,
          },
          {signal},
        ),
      waitMs + POLL_TIMEOUT_MARGIN_MS,
    );
    if (this.stopping.signal.aborted) return false;
    const content = result.ok ? readContent(result.value) : result;
    this.setResponding(content.ok, content.ok ? '' : content.error.message);
    if (!result.ok || !content.ok) return false;
    await this.applyUpdate({...result.value, ...content.value});
    return true;
  }

  /** Returns the known backend servers from time to time, as they seldom change. */
  private takeCounts(): BackendCounts | undefined {
    const nowMs = monotonicMs();
    if (nowMs - this.countedMs < COUNT_INTERVAL_MS) return undefined;
    this.countedMs = nowMs;
    return this.options.listener.knownBackends;
  }

  private async applyUpdate(update: FeedUpdate): Promise<void> {
    const {listener} = this.options;
    const from = formatAddress(this.options.address);
    const {registryId, reports} = update;
    this.registryId = registryId;
    this.position = update.position;
    this.peersVersion = update.peersVersion;
    this.membersIndex = update.membersIndex;
    // Before the reports, which may name backend servers there.
    if (update.evacuation) listener.onEvacuation(update.evacuation);
    listener.onReports({from, registryId, reports});
    if (update.version > listener.version) {
      await this.options.fetchTurns.run(async () => {
        if (update.version > listener.version) await this.fetchDocument();
      });
    }
    // Without this delay, a document that fails to decode would be fetched in
    // a tight loop.
    if (update.version > listener.version) await this.waitToRetry();
    listener.onContact({...update, from});
    if (update.isCurrent) this.options.onMembers(update.control);
  }

  private async fetchDocument(): Promise<void> {
    const result = await this.client.call(
      (api, signal) => api.feed.document.query({readsPacked: true}, {signal}),
      DOCUMENT_TIMEOUT_MS,
    );
    const document = result.ok ? readDocument(result.value) : result;
    if (document.ok && document.value) {
      this.options.listener.onDocument(document.value);
    } else if (!document.ok) {
      const {message: reason} = document.error;
      log.warn('Could not fetch the configuration; retrying.', {reason});
    }
  }

  /** Waits for a random time, as all entry hosts may have lost a host at once. */
  private waitToRetry(): Promise<void> {
    const delayMs = RETRY_DELAY_MS * (0.5 + Math.random());
    return sleep(delayMs, this.stopping.signal);
  }

  private setResponding(isResponding: boolean, reason: string): void {
    if (this.isResponding === isResponding) return;
    this.isResponding = isResponding;
    const peer = formatAddress(this.options.address);
    if (isResponding) log.info('Connected to a control host.', {peer});
    else
      log.warn('Lost the connection to a control host; retrying.', {
        peer,
        reason,
      });
  }
}

/** Reads the part of an update that a control host may have packed. */
function readContent({
  packed,
  reports,
  peers,
}: FeedUpdate): Result<FeedContent> {
  if (packed !== undefined) return unpackJson(packed);
  return succeed({reports, peers});
}

function readDocument(
  document: PublishedDocument | PackedDocument | undefined,
): Result<PublishedDocument | undefined> {
  if (document && 'packed' in document) return unpackJson(document.packed);
  return succeed(document);
}
