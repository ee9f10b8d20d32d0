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
const STALE_AFTER_MS = 4_000;
const CONFIRMATION_TIMEOUT_MS = 2_000;

const log = getLogger('declarations');

/**
 * The declarations in force on this host. A version never gives way to a lower
 * one. The store waits on one control host at a time and moves on to the next
 * when that one is unreachable or has no leader.
 */
export class DeclarationStore {
  private currentIndex = new DeclarationIndex();
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

  /** The declarations in force, ready for look-ups. */
  get current(): DeclarationIndex {
    return this.currentIndex;
  }

  /** Whether no control host with a leader was heard for a while. */
  get isStale(): boolean {
    return monotonicMs() - this.leaderSeenMs > STALE_AFTER_MS;
  }

  /**
   * Whether requests may be served: with a version confirmed by a group that
   * has a leader or, when cut off, with the best version to be had.
   */
  get isReady(): boolean {
    if (this.currentIndex.version === 0) return false;
    if (this.isConfirmed) return true;
    if (!this.hasQueriedPeers) return false;
    return monotonicMs() - this.startedMs > CONFIRMATION_TIMEOUT_MS;
  }

  /** Streams the declarations whenever a newer version is in force. */
  changes(): Stream<DeclarationIndex> {
    return this.changeBus.stream();
  }

  /** Follows the control group until `signal` aborts. */
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

  /** Takes a version, unless it is not newer than the one in force. */
  applyIfNewer(declared: DeclaredVersion): void {
    if (declared.version <= this.currentIndex.version) return;
    this.currentIndex = new DeclarationIndex(declared);
    this.timeline.add(EventKind.InForce, `version ${declared.version}`);
    log.info('Declarations are in force.', {version: declared.version});
    this.changeBus.emit(this.currentIndex);
  }

  /** Whether a group with a leader has confirmed a version since the start. */
  private get isConfirmed(): boolean {
    return Number.isFinite(this.leaderSeenMs);
  }

  /**
   * A host that starts while it is cut off must not serve an older version than
   * its failure domain already has.
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

  /** The near control host is cut off; another one may not be. */
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
    log.warn('The control group changed its reach.', {detail});
  }
}
