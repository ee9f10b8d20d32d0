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
import type {PeerDeclarations} from './peer_declarations.js';

const WAIT_MS = 1_000;
const CALL_TIMEOUT_MS = 1_600;
const RETRY_DELAY_MS = 100;
const STALE_AFTER_MS = 4_000;
const FIRST_VERSION_PATIENCE_MS = 2_000;

const log = getLogger('declarations');

/**
 * The declarations in force on this host. A version never gives way to a lower
 * one. The store waits on one control host at a time and moves on to the next
 * when that one is unreachable or has no leader.
 */
export class DeclarationStore {
  private index = new DeclarationIndex();
  private freshMs = Number.NEGATIVE_INFINITY;
  private readonly startedMs = monotonicMs();
  private wasStale = false;
  private hasAskedPeers = false;
  private readonly bus = new EventBus<DeclarationIndex>();

  constructor(
    private readonly control: ControlClient,
    private readonly peers: PeerDeclarations,
    private readonly timeline: Timeline,
  ) {}

  /** The declarations in force, ready for look-ups. */
  get current(): DeclarationIndex {
    return this.index;
  }

  /** Whether no control host with a leader was heard for a while. */
  get isStale(): boolean {
    return monotonicMs() - this.freshMs > STALE_AFTER_MS;
  }

  /**
   * Whether requests may be served: with a version confirmed by a group that
   * has a leader or, when cut off, with the best version to be had.
   */
  get isReady(): boolean {
    if (this.index.version === 0) return false;
    if (this.isConfirmed) return true;
    if (!this.hasAskedPeers) return false;
    return monotonicMs() - this.startedMs > FIRST_VERSION_PATIENCE_MS;
  }

  /** Streams the declarations whenever a newer version is in force. */
  changes(): Stream<DeclarationIndex> {
    return this.bus.stream();
  }

  /** Follows the control group until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const answers = await this.control.callAny(
        (api, callSignal) =>
          api.declarations.wait.query(
            {
              haveVersion: this.index.version,
              waitMs: WAIT_MS,
              at: this.timeline.clock.now(),
            },
            {signal: callSignal},
          ),
        CALL_TIMEOUT_MS,
      );
      if (answers.ok) this.accept(answers.value);
      else await sleep(RETRY_DELAY_MS, signal);
      if (!this.isConfirmed) await this.askPeers();
      if (answers.ok && answers.value.leaderSilentMs > STALE_AFTER_MS) {
        await this.askOthers();
        await sleep(RETRY_DELAY_MS, signal);
      }
      this.reportStaleness();
    }
  }

  /** Takes a version, unless it is not newer than the one in force. */
  adopt(declared: DeclaredVersion): void {
    if (declared.version <= this.index.version) return;
    this.index = new DeclarationIndex(declared);
    this.timeline.add(EventKind.InForce, `version ${declared.version}`);
    log.info('Declarations are in force.', {version: declared.version});
    this.bus.emit(this.index);
  }

  /** Whether a group with a leader has confirmed a version since the start. */
  private get isConfirmed(): boolean {
    return Number.isFinite(this.freshMs);
  }

  /**
   * A host that starts while it is cut off must not serve an older version than
   * its failure domain already has.
   */
  private async askPeers(): Promise<void> {
    const highest = await this.peers.readHighest(this.index.version);
    if (highest) this.adopt(highest);
    this.hasAskedPeers = true;
  }

  private accept({declared, leaderSilentMs, at}: DeclarationUpdate): void {
    this.timeline.clock.observe(at);
    if (declared) this.adopt(declared);
    if (leaderSilentMs < STALE_AFTER_MS) {
      this.freshMs = monotonicMs() - leaderSilentMs;
    }
  }

  /** The near control host is cut off; another one may not be. */
  private async askOthers(): Promise<void> {
    const answers = await this.control.callAll((api, signal) =>
      api.declarations.wait.query(
        {haveVersion: this.index.version, waitMs: 0},
        {signal},
      ),
    );
    for (const {result} of answers) {
      if (result.ok) this.accept(result.value);
    }
  }

  private reportStaleness(): void {
    if (this.isStale === this.wasStale) return;
    this.wasStale = this.isStale;
    const detail = this.isStale
      ? `version ${this.index.version} may be out of date`
      : `version ${this.index.version} is current`;
    this.timeline.add(EventKind.Stale, detail);
    log.warn('The control group changed its reach.', {detail});
  }
}
