import type {AgedCrashReport} from './aged_crash_report.js';
import type {Crash} from './crash.js';
import type {CrashReport} from './crash_report.js';
import {isRequestSuspect} from './is_request_suspect.js';
import {listSuspects} from './list_suspects.js';

/**
 * Backend servers that must have ended under a suspect. The platform counts
 * further requests after three ends under a request, five under a part.
 */
const CRASHES_TO_QUARANTINE = 3;
/**
 * Share of a service's ends that a suspect must explain, from its first one on.
 * Where many servers end for another reason, requests that were on some of them
 * are no suspects; two requests that crash servers at the same time are.
 */
const MIN_EXPLAINED_SHARE = 0.25;
/** Time for which the end of a backend server counts. */
const CRASH_TTL_MS = 60_000;
/**
 * Time for which a suspect counts as sound after a request with it was answered.
 * One that becomes faulty is found this much later.
 */
const SOUND_TTL_MS = 10_000;
const MAX_CRASHES = 256;
const MAX_ATTEMPTS_PER_CRASH = 64;
const MAX_SOUND_SUSPECTS = 8_192;

interface Evidence {
  readonly crashes: Set<Crash>;
  /** Requests that had the suspect; an unknown one is another at each end. */
  readonly requests: Set<string>;
  /** Position in the prompt; a request stands after all of its parts. */
  position: number;
}

/**
 * Ties the ends of backend servers to the requests that they had begun to
 * answer, and to the prompt parts that such requests share. A suspect that is
 * among them each time, and with which no request was answered, explains the
 * ends.
 */
export class CrashLedger {
  private readonly crashes = new Map<string, Crash>();
  private readonly soundMs = new Map<string, number>();
  private nextReport = 0;

  /**
   * Records that a backend server ended at `atMs`; reports of one end are
   * merged. Returns whether the report was news.
   */
  recordCrash(report: CrashReport, atMs: number): boolean {
    const {backend, incarnation, service = '', request, parts} = report;
    const id = `${backend}/${incarnation}`;
    const crash = this.crashes.get(id) ?? {
      id,
      atMs,
      service,
      attempts: new Map<string, CrashReport>(),
    };
    const attempt = `${request ?? ''} ${parts.join()}`;
    const isNews = !crash.attempts.has(attempt);
    crash.attempts.set(attempt, report);
    deleteOldest(crash.attempts, MAX_ATTEMPTS_PER_CRASH);
    this.crashes.set(id, crash);
    deleteOldest(this.crashes, MAX_CRASHES);
    return isNews;
  }

  /**
   * Returns at most `count` reports and the age of each end in milliseconds;
   * further calls return the others in turn.
   */
  takeReports(nowMs: number, count: number): AgedCrashReport[] {
    this.deleteExpired(nowMs);
    const all = [...this.crashes.values()].flatMap(({atMs, attempts}) =>
      [...attempts.values()].map(report => ({...report, ageMs: nowMs - atMs})),
    );
    const start = all.length === 0 ? 0 : this.nextReport % all.length;
    this.nextReport = start + count;
    return [...all.slice(start), ...all.slice(0, start)].slice(0, count);
  }

  /** Records that a request with these suspects was answered. */
  recordSound(suspects: readonly string[], nowMs: number): void {
    for (const suspect of suspects) {
      // Deleted first, so that the map stays in the order of time.
      this.soundMs.delete(suspect);
      this.soundMs.set(suspect, nowMs);
    }
    deleteOldest(this.soundMs, MAX_SOUND_SUSPECTS);
  }

  /** Whether a request with the suspect was answered lately. */
  isSound(suspect: string, nowMs: number): boolean {
    return nowMs - this.lastSoundMs(suspect) < SOUND_TTL_MS;
  }

  /** Whether a backend server has ended under the suspect. */
  isSuspect(suspect: string): boolean {
    return [...this.crashes.values()].some(({attempts}) =>
      [...attempts.values()].some(attempt =>
        listSuspects(attempt).includes(suspect),
      ),
    );
  }

  /**
   * Returns the suspects that explain most ends, if they explain enough. Between
   * equals, a request is more specific than the parts of its prompt, and a later
   * part than an earlier one; requests that explain as much are all returned.
   * Ends that a suspect in quarantine explains are no evidence against others.
   */
  findCulprits(
    nowMs: number,
    isQuarantined: (suspect: string) => boolean,
  ): string[] {
    this.deleteExpired(nowMs);
    const evidence = this.collectEvidence(nowMs, isQuarantined);
    const culprits = [...evidence.entries()].filter(([suspect, found]) =>
      this.isEnough(suspect, found, nowMs, isQuarantined),
    );
    const most = Math.max(...culprits.map(([, {crashes}]) => crashes.size));
    const top = culprits
      .filter(([, {crashes}]) => crashes.size === most)
      .sort(([, a], [, b]) => b.position - a.position)
      .map(([suspect]) => suspect);
    const requests = top.filter(isRequestSuspect);
    return requests.length > 0 ? requests : top.slice(0, 1);
  }

  private collectEvidence(
    nowMs: number,
    isQuarantined: (suspect: string) => boolean,
  ): Map<string, Evidence> {
    const evidence = new Map<string, Evidence>();
    for (const crash of this.crashes.values()) {
      for (const attempt of findUnexplained(crash, isQuarantined)) {
        listSuspects(attempt).forEach((suspect, position) => {
          if (isQuarantined(suspect)) return;
          if (this.isCleared(suspect, crash, nowMs)) return;
          const found = evidence.get(suspect) ?? {
            crashes: new Set<Crash>(),
            requests: new Set<string>(),
            position,
          };
          found.crashes.add(crash);
          found.requests.add(attempt.request ?? crash.id);
          found.position = position;
          evidence.set(suspect, found);
        });
      }
    }
    return evidence;
  }

  private isEnough(
    suspect: string,
    {crashes, requests}: Evidence,
    nowMs: number,
    isQuarantined: (suspect: string) => boolean,
  ): boolean {
    if (crashes.size < CRASHES_TO_QUARANTINE) return false;
    // Ends under one request alone are evidence against no part of its prompt.
    const [first] = requests;
    const isOneRequest =
      requests.size === 1 && !this.isSound(first ?? '', nowMs);
    if (!isRequestSuspect(suspect) && isOneRequest) return false;
    const services = new Set([...crashes].map(({service}) => service));
    const firstMs = Math.min(...[...crashes].map(({atMs}) => atMs));
    const ends = [...this.crashes.values()].filter(
      crash =>
        services.has(crash.service) &&
        crash.atMs >= firstMs &&
        (crashes.has(crash) || !isExplained(crash, isQuarantined)),
    );
    return crashes.size >= MIN_EXPLAINED_SHARE * ends.length;
  }

  /** Whether the suspect was answered lately, or since the end. */
  private isCleared(suspect: string, {atMs}: Crash, nowMs: number): boolean {
    return this.lastSoundMs(suspect) > atMs || this.isSound(suspect, nowMs);
  }

  private lastSoundMs(suspect: string): number {
    return this.soundMs.get(suspect) ?? Number.NEGATIVE_INFINITY;
  }

  private deleteExpired(nowMs: number): void {
    for (const [key, {atMs}] of this.crashes) {
      if (nowMs - atMs > CRASH_TTL_MS) this.crashes.delete(key);
    }
  }
}

/** Whether a suspect in quarantine was on the backend server when it ended. */
function isExplained(
  {attempts}: Crash,
  isQuarantined: (suspect: string) => boolean,
): boolean {
  return [...attempts.values()].some(attempt =>
    listSuspects(attempt).some(isQuarantined),
  );
}

/**
 * Returns the attempts that may have caused an end. A part in quarantine
 * explains it for all of them; a request in quarantine for the other ones.
 */
function findUnexplained(
  {attempts}: Crash,
  isQuarantined: (suspect: string) => boolean,
): CrashReport[] {
  const all = [...attempts.values()];
  if (all.some(({parts}) => parts.some(isQuarantined))) return [];
  const known = all.filter(
    ({request}) => request !== undefined && isQuarantined(request),
  );
  return known.length > 0 ? known : all;
}

function deleteOldest<V>(map: Map<string, V>, limit: number): void {
  for (const key of map.keys()) {
    if (map.size <= limit) return;
    map.delete(key);
  }
}
