import {join} from 'node:path';
import {getLogger, monotonicMs, sleep} from '@vanillamux/shared';
import {ChecksummedFile, NodeDisk} from '@vanillamux/storage';
import {z} from 'zod';
import type {BackendCounts, Census} from './census.js';

const FOLDER = 'census';
const FILE = 'backends.json';
/** Heartbeats after a start within which each backend server reports. */
const OPEN_HEARTBEATS = 2;
/** Time between two writes, so that a restart of one host is no change. */
const SAVE_INTERVAL_MS = 5_000;

const countsSchema = z.record(z.string(), z.number().int().min(0));

const log = getLogger('census');

/** Where a census is kept, as text. */
export type CensusFile = Pick<ChecksummedFile, 'read' | 'write'>;

/** Options of a `BackendCensus`. */
export interface BackendCensusOptions {
  /** Interval at which backend servers send heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Without one, nothing is remembered. */
  readonly file?: CensusFile;
  readonly now?: () => number;
}

/**
 * Remembers across a restart how many backend servers entry hosts know of each
 * service, and nothing else of them. Without it, entry hosts that start together
 * with every control host would send all requests to the few servers that have
 * reported first.
 */
export class BackendCensus {
  private readonly now: () => number;
  private readonly startedMs: number;
  private expected: BackendCounts = {};
  private savedText = '';
  /** Highest counts since the last write. */
  private highest: Record<string, number> = {};

  constructor(private readonly options: BackendCensusOptions) {
    this.now = options.now ?? monotonicMs;
    this.startedMs = this.now();
  }

  /** Opens the census in a data folder; an empty one if it can't be read. */
  static async open(
    dataFolder: string,
    heartbeatMs: number,
  ): Promise<BackendCensus> {
    const disk = await NodeDisk.openFolder(join(dataFolder, FOLDER));
    const file = disk.ok ? new ChecksummedFile(disk.value, FILE) : undefined;
    const census = new BackendCensus({heartbeatMs, file});
    await census.load();
    return census;
  }

  /** Reads what was remembered before the restart. */
  async load(): Promise<void> {
    try {
      const read = await this.options.file?.read();
      if (!read?.ok || read.value === undefined) return;
      this.expected = countsSchema.parse(JSON.parse(read.value));
      this.savedText = read.value;
    } catch (error) {
      log.warn('Ignored what was remembered of backend servers.', {
        reason: (error as Error).message,
      });
    }
  }

  /** Takes note of the backend servers that an entry host knows. */
  learn(counts: BackendCounts): void {
    for (const [service, count] of Object.entries(counts))
      this.highest[service] = Math.max(count, this.highest[service] ?? 0);
  }

  /**
   * Returns what is remembered, which may be nothing; `undefined` once all
   * servers had the time to report.
   */
  current(): Census | undefined {
    const {openForMs, expected} = this;
    return openForMs > 0 ? {expected, openForMs} : undefined;
  }

  /** Writes changed counts until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await sleep(this.openForMs, signal);
    while (!signal.aborted) {
      await this.save();
      await sleep(SAVE_INTERVAL_MS, signal);
    }
  }

  /** Writes the highest counts since the last call, unless they are known. */
  async save(): Promise<void> {
    const {highest} = this;
    this.highest = {};
    // What entry hosts know shortly after a restart is a part.
    if (this.openForMs > 0 || Object.keys(highest).length === 0) return;
    const names = Object.keys(highest).sort();
    const text = JSON.stringify(highest, names);
    if (text === this.savedText) return;
    try {
      await this.options.file?.write(text);
      this.savedText = text;
    } catch (error) {
      log.warn('Could not remember the number of backend servers; retrying.', {
        reason: (error as Error).message,
      });
    }
  }

  private get openForMs(): number {
    const openMs = OPEN_HEARTBEATS * this.options.heartbeatMs;
    return Math.ceil(this.startedMs + openMs - this.now());
  }
}
