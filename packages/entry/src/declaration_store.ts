import type {ControlClient, DeclarationUpdate} from '@vanillamux/control';
import type {DeclaredVersion} from '@vanillamux/protocol';
import {
  EventBus,
  EventKind,
  getLogger,
  monotonicMs,
  sleep,
  type Timeline,
} from '@vanillamux/shared';
import type {Stream} from 'most';
import {DeclarationIndex} from './declaration_index.js';
import type {PeerDeclarationsClient} from './peer_declarations_client.js';

const LONG_POLL_MS = 1_000;
const CALL_TIMEOUT_MS = 1_600;
const RETRY_DELAY_MS = 100;
/** Time without a known leader after which the declarations are stale. */
const STALE_AFTER_MS = 4_000;
/** Time after which a new host serves a version that no leader confirmed. */
const CONFIRMATION_TIMEOUT_MS = 2_000;

const log = getLogger('declarations');

/**
 * Keeps the declarations in force on this host up to date; a version is never
 * replaced by a lower one. Long-polls the first control host that responds; if
 * that one has not heard from a leader for `STALE_AFTER_MS`, also queries every
 * control host.
 */
export class DeclarationStore {
  private currentIndex = new DeclarationIndex();
  /** When the control group last had a leader, by its last response. */
  private leaderSeenMs = Number.NEGATIVE_INFINITY;
  private readonly startedMs = monotonicMs();
  private reportedStale = false;
  private hasQueriedPeers = false;
  private readonly changeBus = new EventBus<DeclarationIndex>();

  constructor(
    private readonly control: ControlClient,
    private readonly peers: PeerDeclarationsClient,
    private readonly timeline: Timeline,
  ) {}

  /** The declarations in force, indexed for lookups. */
  get current(): DeclarationIndex {
    return this.currentIndex;
  }

  /** Whether no control host has reported a leader for `STALE_AFTER_MS`. */
  get isStale(): boolean {
    return monotonicMs() - this.leaderSeenMs > STALE_AFTER_MS;
  }

  /**
   * Whether requests may be served: with a version from a control group that
   * has a leader or, if there is none within `CONFIRMATION_TIMEOUT_MS`, with
   * the highest version that any control host or peer has sent.
   */
  get isReady(): boolean {
    if (this.currentIndex.version === 0) return false;
    if (this.isConfirmed) return true;
    if (!this.hasQueriedPeers) return false;
    return monotonicMs() - this.startedMs > CONFIRMATION_TIMEOUT_MS;
  }

  /** Streams the declarations whenever a newer version comes into force. */
  changes(): Stream<DeclarationIndex> {
    return this.changeBus.stream();
  }

  /** Fetches newer versions from the control group until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const feedResult = await this.control.callAny(
        (api, callSignal) =>
          api.declarations.wait.query(
            {
              haveVersion: this.currentIndex.version,
              waitMs: LONG_POLL_MS,
              at: this.timeline.clock.now(),
            },
            {signal: callSignal},
          ),
        CALL_TIMEOUT_MS,
      );
      if (feedResult.ok) this.applyFeedResponse(feedResult.value);
      else await sleep(RETRY_DELAY_MS, signal);
      if (!this.isConfirmed) await this.applyHighestPeerVersion();
      if (feedResult.ok && feedResult.value.leaderSilentMs > STALE_AFTER_MS) {
        await this.queryAllControlHosts();
        await sleep(RETRY_DELAY_MS, signal);
      }
      this.reportStalenessChange();
    }
  }

  /** Puts a version into force if it is newer than the current one. */
  applyIfNewer(declared: DeclaredVersion): void {
    if (declared.version <= this.currentIndex.version) return;
    this.currentIndex = new DeclarationIndex(declared);
    this.timeline.add(EventKind.InForce, `version ${declared.version}`);
    log.info('Declarations are in force.', {version: declared.version});
    this.changeBus.emit(this.currentIndex);
  }

  /** Whether a control group with a leader has responded since the start. */
  private get isConfirmed(): boolean {
    return Number.isFinite(this.leaderSeenMs);
  }

  /**
   * Applies the highest version that a peer has in force. A host that starts
   * without a connection to the leader must not serve an older version than its
   * failure domain already has.
   */
  private async applyHighestPeerVersion(): Promise<void> {
    const highest = await this.peers.fetchHighestVersion(
      this.currentIndex.version,
    );
    if (highest) this.applyIfNewer(highest);
    this.hasQueriedPeers = true;
  }

  private applyFeedResponse({
    declared,
    leaderSilentMs,
    at,
  }: DeclarationUpdate): void {
    this.timeline.clock.observe(at);
    if (declared) this.applyIfNewer(declared);
    if (leaderSilentMs < STALE_AFTER_MS) {
      this.leaderSeenMs = monotonicMs() - leaderSilentMs;
    }
  }

  /**
   * Queries every control host: the one that was polled has lost contact with
   * the leader, but others may not have.
   */
  private async queryAllControlHosts(): Promise<void> {
    const responses = await this.control.callAll((api, signal) =>
      api.declarations.wait.query(
        {haveVersion: this.currentIndex.version, waitMs: 0},
        {signal},
      ),
    );
    for (const {result} of responses) {
      if (result.ok) this.applyFeedResponse(result.value);
    }
  }

  private reportStalenessChange(): void {
    if (this.isStale === this.reportedStale) return;
    this.reportedStale = this.isStale;
    const detail = this.isStale
      ? `version ${this.currentIndex.version} may be out of date`
      : `version ${this.currentIndex.version} is current`;
    this.timeline.add(EventKind.Stale, detail);
    log.warn('Staleness of the declarations changed.', {detail});
  }
}
