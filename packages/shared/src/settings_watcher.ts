import {stat} from 'node:fs/promises';
import type {z} from 'zod';
import {getLogger} from './get_logger.js';
import {loadSettings} from './load_settings.js';
import {sleep} from './sleep.js';

/** Settings files change without a signal too; a look costs one system call. */
const POLL_INTERVAL_MS = 3_000;

const log = getLogger('settings');

/** Options of a `SettingsWatcher`. */
export interface SettingsWatcherOptions<S> {
  readonly file: string;
  readonly schema: z.ZodType<S, z.ZodTypeDef, unknown>;
  /** Takes the settings whenever the file has changed and is valid. */
  readonly onChange: (settings: S) => void;
}

/** Reads a settings file again when it changes or when it is told to. */
export class SettingsWatcher<S> {
  private modifiedMs = 0;

  constructor(private readonly options: SettingsWatcherOptions<S>) {}

  /** Looks at the file at intervals until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.modifiedMs = await this.readModificationTime();
    while (!signal.aborted) {
      await sleep(POLL_INTERVAL_MS, signal);
      if (signal.aborted) return;
      const modifiedMs = await this.readModificationTime();
      if (modifiedMs !== this.modifiedMs) await this.reload();
    }
  }

  /** Reads the file now. Invalid settings are reported and change nothing. */
  async reload(): Promise<void> {
    const {file, schema, onChange} = this.options;
    this.modifiedMs = await this.readModificationTime();
    const loaded = await loadSettings(file, schema);
    if (!loaded.ok) {
      log.error('The changed settings are invalid; keeping the former ones.', {
        reason: loaded.error.message,
      });
      return;
    }
    log.info('Read the settings again.', {file});
    onChange(loaded.value as S);
  }

  /** When the file last changed; unchanged as long as it cannot be read. */
  private async readModificationTime(): Promise<number> {
    try {
      return (await stat(this.options.file)).mtimeMs;
    } catch (error) {
      const {code} = error as NodeJS.ErrnoException;
      log.warn('Cannot look at the settings file.', {reason: code});
      return this.modifiedMs;
    }
  }
}
