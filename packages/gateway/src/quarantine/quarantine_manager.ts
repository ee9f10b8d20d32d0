import {chooseOwner} from '@vanillamux/routing';
import {getLogger, monotonicMs, type Address} from '@vanillamux/shared';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {GatewayMetrics} from '../server/gateway_metrics.js';
import {confirmEnd} from './confirm_end.js';
import {CrashLedger} from './crash_ledger.js';
import type {CrashReport} from './crash_report.js';
import {PartQuarantine} from './part_quarantine.js';
import {QuarantineEvent} from './quarantine_event.js';
import type {QuarantineFact} from './quarantine_fact.js';
import type {QuarantineNotice} from './quarantine_notice.js';
import type {WatchedAttempt} from './watched_attempt.js';

/**
 * Time after its first event at which an attempt shows that its parts are sound.
 * Several scheduling iterations of an engine.
 */
const SOUND_AFTER_MS = 500;
/** Time for peers to report that a suspect part is sound. */
const SETTLE_MS = 100;
/** Longest random delay of such a report; one that arrives first replaces it. */
const MAX_SOUND_REPORT_DELAY_MS = 50;
/** Interval between reports of one part as sound. */
const SOUND_REPORT_INTERVAL_MS = 1_000;
/** Interval at which known facts are sent to some peers again. */
const SYNC_INTERVAL_MS = 1_000;
const SYNC_RECEIVERS = 3;
const MAX_FACTS_PER_NOTICE = 8;
/** Shortest Retry-After of a refusal, as when another host runs the trial. */
const MIN_RETRY_AFTER_MS = 5_000;

const log = getLogger('quarantine');

/** Options of a `QuarantineManager`. */
export interface QuarantineManagerOptions {
  /** Id of this host. */
  readonly id: string;
  readonly notices: PeerNotices;
  readonly metrics: Pick<GatewayMetrics, 'countQuarantineEvent'>;
  /** Returns the ids of the entry hosts, including this one. */
  readonly hostIds: () => readonly string[];
  readonly hasEnded?: (address: Address) => Promise<boolean>;
}

/** Why a request is refused, and when its client may come back. */
export interface QuarantineRefusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/**
 * Keeps requests away from backend servers that would end under them. Ends of
 * backend servers are tied to the parts that their requests share; a part that
 * explains them is quarantined on all entry hosts, and tried again later by one.
 */
export class QuarantineManager {
  private readonly ledger = new CrashLedger();
  private readonly quarantine = new PartQuarantine();
  private readonly watched = new Set<WatchedAttempt>();
  private readonly confirmations = new Map<string, Promise<boolean>>();
  private readonly soundReportedMs = new Map<string, number>();
  private settleTimer?: NodeJS.Timeout;
  private syncTimer?: NodeJS.Timeout;

  constructor(private readonly options: QuarantineManagerOptions) {
    void options.notices
      .quarantineNotices()
      .observe(notice => this.receive(notice));
  }

  /** Starts to send known facts again, for hosts that missed or lost them. */
  start(): void {
    this.syncTimer = setInterval(() => this.sync(), SYNC_INTERVAL_MS);
  }

  /** Stops the timers. */
  stop(): void {
    clearInterval(this.syncTimer);
    clearTimeout(this.settleTimer);
  }

  /** Number of parts in quarantine. */
  get size(): number {
    return this.quarantine.size;
  }

  /**
   * Returns why a request with these parts must not run. A request that may run
   * as a trial passes.
   */
  check(
    requestId: string,
    parts: readonly string[],
  ): QuarantineRefusal | undefined {
    const nowMs = monotonicMs();
    const part = parts.find(id => this.quarantine.has(id));
    if (part === undefined) return undefined;
    const {id, hostIds} = this.options;
    const isOwner = chooseOwner(part, [...new Set([id, ...hostIds()])]) === id;
    if (isOwner && this.quarantine.startTrial(part, nowMs)) {
      this.count(QuarantineEvent.Trial);
      log.info('Trying a quarantined prompt part.', {
        request: requestId,
        promptPart: part,
      });
      return undefined;
    }
    this.count(QuarantineEvent.Refused);
    const remainingMs = this.quarantine.remainingMs(part, nowMs);
    return {
      reason: `backend servers end under part ${part} of the prompt`,
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(remainingMs)),
    };
  }

  /** Watches an attempt until `end` is called for it. */
  watch(
    attempt: Pick<WatchedAttempt, 'requestId' | 'backend' | 'parts' | 'abort'>,
  ): WatchedAttempt {
    const watchedAttempt: WatchedAttempt = {...attempt, isSound: false};
    if (attempt.parts.length > 0) this.watched.add(watchedAttempt);
    return watchedAttempt;
  }

  /** Records that events of an attempt have arrived. */
  recordProgress(attempt: WatchedAttempt): void {
    const nowMs = monotonicMs();
    attempt.firstProgressMs ??= nowMs;
    if (nowMs - attempt.firstProgressMs >= SOUND_AFTER_MS)
      this.recordSound(attempt);
  }

  /** Records that an attempt was answered completely. */
  recordSound(attempt: WatchedAttempt): void {
    if (attempt.isSound || attempt.parts.length === 0) return;
    attempt.isSound = true;
    const nowMs = monotonicMs();
    this.ledger.recordSound(attempt.parts, nowMs);
    for (const part of attempt.parts) {
      if (this.quarantine.has(part)) this.lift(part, attempt.requestId);
    }
    this.reportSound(attempt.parts);
  }

  /**
   * Ends the watch. After a lost connection, resolves when it is known whether
   * the backend server itself has ended.
   */
  async end(attempt: WatchedAttempt, isDisconnected: boolean): Promise<void> {
    this.watched.delete(attempt);
    if (!isDisconnected || attempt.isSound || attempt.parts.length === 0)
      return;
    const {backend, parts, requestId} = attempt;
    if (!(await this.confirm(attempt))) return;
    const {id, incarnation} = backend.presence;
    this.count(QuarantineEvent.BackendEnded);
    log.info('A backend server ended under a request.', {
      request: requestId,
      backend: id,
      incarnation,
      sharedParts: parts.join(),
    });
    const crash: CrashReport = {backend: id, incarnation, parts: [...parts]};
    this.recordCrash(crash);
    this.options.notices.broadcastFacts({quarantine: {crash}});
  }

  private confirm({backend}: WatchedAttempt): Promise<boolean> {
    const {id, incarnation, address} = backend.presence;
    const key = `${id}/${incarnation}`;
    const {hasEnded = confirmEnd} = this.options;
    let confirmation = this.confirmations.get(key);
    if (!confirmation) {
      confirmation = hasEnded(address).finally(() =>
        this.confirmations.delete(key),
      );
      this.confirmations.set(key, confirmation);
    }
    return confirmation;
  }

  private receive({crash, sound = [], facts = []}: QuarantineNotice): void {
    const nowMs = monotonicMs();
    this.ledger.recordSound(sound, nowMs);
    for (const part of sound) this.soundReportedMs.set(part, nowMs);
    for (const fact of facts) {
      if (this.quarantine.merge(fact, nowMs)) this.applyFact(fact, 'peer');
    }
    if (!crash) return;
    this.recordCrash(crash);
    setTimeout(
      () => this.reportSound(crash.parts),
      Math.random() * MAX_SOUND_REPORT_DELAY_MS,
    );
  }

  private recordCrash(crash: CrashReport): void {
    const nowMs = monotonicMs();
    const known = crash.parts.find(part => this.quarantine.has(part));
    if (known === undefined) {
      this.ledger.recordCrash(crash, nowMs);
      this.settleTimer ??= setTimeout(() => this.settle(), SETTLE_MS);
    } else if (this.quarantine.isTrialDue(known, nowMs)) {
      this.add(known);
    }
  }

  /** Quarantines the part that explains the ends of backend servers, if any. */
  private settle(): void {
    this.settleTimer = undefined;
    const culprit = this.ledger.findCulprit(monotonicMs());
    if (culprit !== undefined) this.add(culprit);
  }

  private add(part: string): void {
    const fact = this.quarantine.add(part, monotonicMs());
    this.applyFact(fact, 'own');
    this.options.notices.broadcastFacts({quarantine: {facts: [fact]}});
  }

  private lift(part: string, requestId: string): void {
    const fact = this.quarantine.lift(part, monotonicMs());
    log.info('A request with a quarantined prompt part was answered.', {
      request: requestId,
      promptPart: part,
    });
    this.applyFact(fact, 'own');
    this.options.notices.broadcastFacts({quarantine: {facts: [fact]}});
  }

  private applyFact(
    {part, generation, isLifted, remainingMs}: QuarantineFact,
    source: 'own' | 'peer',
  ): void {
    if (isLifted) {
      this.count(QuarantineEvent.Lifted);
      this.ledger.recordSound([part], monotonicMs());
      log.info('Lifted the quarantine of a prompt part.', {
        promptPart: part,
        source,
      });
      return;
    }
    this.count(QuarantineEvent.Quarantined);
    this.ledger.explain(part);
    log.warn('Quarantined a prompt part under which backend servers end.', {
      promptPart: part,
      generation,
      source,
      remainingMs,
    });
    for (const attempt of this.watched) {
      const hasBegun = attempt.firstProgressMs !== undefined;
      if (!hasBegun && attempt.parts.includes(part)) attempt.abort();
    }
  }

  /** Tells peers which suspect parts were answered lately, once in a while. */
  private reportSound(parts: readonly string[]): void {
    const nowMs = monotonicMs();
    const sound = parts.filter(
      part =>
        this.ledger.isSuspect(part) &&
        this.ledger.isSound(part, nowMs) &&
        nowMs - (this.soundReportedMs.get(part) ?? Number.NEGATIVE_INFINITY) >=
          SOUND_REPORT_INTERVAL_MS,
    );
    for (const [part, reportedMs] of this.soundReportedMs) {
      if (nowMs - reportedMs >= SOUND_REPORT_INTERVAL_MS)
        this.soundReportedMs.delete(part);
    }
    if (sound.length === 0) return;
    for (const part of sound) this.soundReportedMs.set(part, nowMs);
    this.options.notices.broadcastFacts({quarantine: {sound}});
  }

  private sync(): void {
    const facts = this.quarantine.facts(monotonicMs(), MAX_FACTS_PER_NOTICE);
    if (facts.length > 0)
      this.options.notices.sendFacts({quarantine: {facts}}, SYNC_RECEIVERS);
  }

  private count(event: QuarantineEvent): void {
    this.options.metrics.countQuarantineEvent(event);
  }
}
