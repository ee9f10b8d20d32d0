import {chooseOwner} from '@vanillamux/routing';
import {
  confirmEnd,
  getLogger,
  monotonicMs,
  type Address,
} from '@vanillamux/shared';
import {FactSource} from '../peers/fact_source.js';
import type {PeerFacts} from '../peers/peer_facts.js';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {GatewayMetrics} from '../server/gateway_metrics.js';
import {CrashLedger} from './crash_ledger.js';
import type {CrashReport} from './crash_report.js';
import {isRequestSuspect} from './is_request_suspect.js';
import {SuspectQuarantine} from './suspect_quarantine.js';
import {QuarantineEvent} from './quarantine_event.js';
import {listSuspects} from './list_suspects.js';
import type {QuarantineFact} from './quarantine_fact.js';
import type {QuarantineNotice} from './quarantine_notice.js';
import type {WatchedAttempt} from './watched_attempt.js';

/**
 * Time after its first event at which an attempt shows that its suspects are
 * sound. Several scheduling iterations of an engine.
 */
const SOUND_AFTER_MS = 500;
/** Time for peers to report that a suspect is sound. */
const SETTLE_MS = 100;
/** Longest random delay of such a report; one that arrives first replaces it. */
const MAX_SOUND_REPORT_DELAY_MS = 50;
/** Interval between reports of one suspect as sound. */
const SOUND_REPORT_INTERVAL_MS = 1_000;
const MAX_FACTS_PER_NOTICE = 8;
const MAX_CRASHES_PER_NOTICE = 3;
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
 * backend servers are tied to the requests that they were answering and to the
 * prompt parts that these share; a suspect that explains the ends is quarantined
 * on all entry hosts, and tried again later by one.
 */
export class QuarantineManager extends FactSource {
  private readonly ledger = new CrashLedger();
  private readonly quarantine = new SuspectQuarantine();
  private readonly watched = new Set<WatchedAttempt>();
  private readonly confirmations = new Map<string, Promise<boolean>>();
  private readonly soundReportedMs = new Map<string, number>();
  private settleTimer?: NodeJS.Timeout;

  constructor(private readonly options: QuarantineManagerOptions) {
    super();
    void options.notices
      .quarantineNotices()
      .observe(notice => this.receive(notice));
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.settleTimer);
  }

  takeFacts(): PeerFacts | undefined {
    const nowMs = monotonicMs();
    const facts = this.quarantine.takeFacts(nowMs, MAX_FACTS_PER_NOTICE);
    const crashes = this.ledger.takeReports(nowMs, MAX_CRASHES_PER_NOTICE);
    const isEmpty = facts.length === 0 && crashes.length === 0;
    return isEmpty ? undefined : {quarantine: {facts, crashes}};
  }

  /** Number of requests in quarantine. */
  get requestCount(): number {
    return this.quarantine.suspects.filter(isRequestSuspect).length;
  }

  /** Number of prompt parts in quarantine. */
  get partCount(): number {
    return this.quarantine.suspects.length - this.requestCount;
  }

  /**
   * Returns why a request with these suspects must not run. A request that may
   * run as a trial passes.
   */
  check(
    requestId: string,
    suspects: readonly string[],
  ): QuarantineRefusal | undefined {
    const nowMs = monotonicMs();
    const held = suspects.filter(suspect => this.quarantine.has(suspect));
    if (held.length === 0) return undefined;
    const blocking = held.find(suspect => !this.mayTry(suspect, nowMs));
    if (blocking !== undefined) return this.refuse(blocking, nowMs);
    for (const suspect of held) {
      this.quarantine.startTrial(suspect, nowMs);
      this.count(QuarantineEvent.Trial);
      log.info('Trying a quarantined request or prompt part.', {
        request: requestId,
        suspect,
      });
    }
    return undefined;
  }

  /** Watches an attempt until `end` is called for it. */
  watch(
    attempt: Omit<WatchedAttempt, 'firstProgressMs' | 'isSound'>,
  ): WatchedAttempt {
    const watchedAttempt: WatchedAttempt = {...attempt, isSound: false};
    this.watched.add(watchedAttempt);
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
    if (attempt.isSound) return;
    attempt.isSound = true;
    const suspects = [...attempt.parts, attempt.request];
    this.ledger.recordSound(suspects, monotonicMs());
    for (const suspect of suspects) {
      if (this.quarantine.has(suspect)) this.lift(suspect, attempt.requestId);
    }
    this.reportSound(suspects);
  }

  /**
   * Ends the watch. After a lost connection, resolves when it is known whether
   * the backend server itself has ended.
   */
  async end(attempt: WatchedAttempt, isDisconnected: boolean): Promise<void> {
    this.watched.delete(attempt);
    if (!isDisconnected || attempt.isSound) return;
    const {backend, request, parts, requestId} = attempt;
    if (!(await this.confirm(attempt))) return;
    const {id, incarnation, service} = backend.presence;
    this.count(QuarantineEvent.BackendEnded);
    log.info('A backend server ended under a request.', {
      request: requestId,
      backend: id,
      incarnation,
      suspect: request,
      sharedParts: parts.join(),
    });
    const crash: CrashReport = {
      backend: id,
      incarnation,
      service,
      request,
      parts: [...parts],
    };
    this.recordCrash(crash, monotonicMs());
    this.options.notices.broadcastFacts({
      quarantine: {crashes: [{...crash, ageMs: 0}]},
    });
  }

  /** Whether this host may try a suspect in quarantine now. */
  private mayTry(suspect: string, nowMs: number): boolean {
    const {id, hostIds} = this.options;
    const hosts = [...new Set([id, ...hostIds()])];
    return (
      chooseOwner(suspect, hosts) === id &&
      this.quarantine.mayStartTrial(suspect, nowMs)
    );
  }

  private refuse(suspect: string, nowMs: number): QuarantineRefusal {
    this.count(QuarantineEvent.Refused);
    const remainingMs = this.quarantine.remainingMs(suspect, nowMs);
    return {
      reason: isRequestSuspect(suspect)
        ? 'backend servers end under this request'
        : `backend servers end under part ${suspect} of the prompt`,
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(remainingMs)),
    };
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

  private receive({
    crashes = [],
    sound = [],
    facts = [],
  }: QuarantineNotice): void {
    const nowMs = monotonicMs();
    this.ledger.recordSound(sound, nowMs);
    for (const suspect of sound) this.soundReportedMs.set(suspect, nowMs);
    for (const fact of facts) {
      if (this.quarantine.merge(fact, nowMs)) this.applyFact(fact, 'peer');
    }
    for (const {ageMs, ...crash} of crashes) {
      if (!this.recordCrash(crash, nowMs - ageMs)) continue;
      setTimeout(
        () => this.reportSound(listSuspects(crash)),
        Math.random() * MAX_SOUND_REPORT_DELAY_MS,
      );
    }
  }

  /** Records an end at `atMs`. Returns whether it was news. */
  private recordCrash(crash: CrashReport, atMs: number): boolean {
    if (!this.ledger.recordCrash(crash, atMs)) return false;
    const failedTrials = listSuspects(crash).filter(suspect =>
      this.quarantine.isTrialDue(suspect, atMs),
    );
    for (const suspect of failedTrials) this.add(suspect);
    this.settleTimer ??= setTimeout(() => this.settle(), SETTLE_MS);
    return true;
  }

  /** Quarantines what explains the ends of backend servers, if anything does. */
  private settle(): void {
    this.settleTimer = undefined;
    const culprits = this.ledger.findCulprits(monotonicMs(), suspect =>
      this.quarantine.has(suspect),
    );
    for (const suspect of culprits) this.add(suspect);
  }

  private add(suspect: string): void {
    const fact = this.quarantine.add(suspect, monotonicMs());
    this.applyFact(fact, 'own');
    this.options.notices.broadcastFacts({quarantine: {facts: [fact]}});
  }

  private lift(suspect: string, requestId: string): void {
    const fact = this.quarantine.lift(suspect, monotonicMs());
    log.info('A quarantined request or prompt part was answered.', {
      request: requestId,
      suspect,
    });
    this.applyFact(fact, 'own');
    this.options.notices.broadcastFacts({quarantine: {facts: [fact]}});
  }

  private applyFact(
    {suspect, generation, isLifted, remainingMs}: QuarantineFact,
    source: 'own' | 'peer',
  ): void {
    if (isLifted) {
      this.count(QuarantineEvent.Lifted);
      this.ledger.recordSound([suspect], monotonicMs());
      log.info('Lifted the quarantine of a request or prompt part.', {
        suspect,
        source,
      });
      return;
    }
    this.count(QuarantineEvent.Quarantined);
    log.warn(
      'Quarantined a request or prompt part under which backend servers end.',
      {suspect, generation, source, remainingMs},
    );
    for (const attempt of this.watched) {
      const {request, parts, firstProgressMs} = attempt;
      const hasSuspect = request === suspect || parts.includes(suspect);
      if (hasSuspect && firstProgressMs === undefined) attempt.abort();
    }
  }

  /** Tells peers which suspects were answered lately, once in a while. */
  private reportSound(suspects: readonly string[]): void {
    const nowMs = monotonicMs();
    const sound = suspects.filter(
      suspect =>
        this.ledger.isSuspect(suspect) &&
        this.ledger.isSound(suspect, nowMs) &&
        nowMs -
          (this.soundReportedMs.get(suspect) ?? Number.NEGATIVE_INFINITY) >=
          SOUND_REPORT_INTERVAL_MS,
    );
    for (const [suspect, reportedMs] of this.soundReportedMs) {
      if (nowMs - reportedMs >= SOUND_REPORT_INTERVAL_MS)
        this.soundReportedMs.delete(suspect);
    }
    if (sound.length === 0) return;
    for (const suspect of sound) this.soundReportedMs.set(suspect, nowMs);
    this.options.notices.broadcastFacts({quarantine: {sound}});
  }

  private count(event: QuarantineEvent): void {
    this.options.metrics.countQuarantineEvent(event);
  }
}
