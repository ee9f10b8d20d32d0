import {stat} from 'node:fs/promises';
import type {z} from 'zod';
import {getLogger} from './get_logger.js';
import {loadSettings} from './load_settings.js';
import {sleep} from './sleep.js';

/**
 * Settings files also change without a SIGHUP, so that the watcher polls the
 * modification time; a poll costs one system call.
 */
const POLL_INTERVAL_MS = 3_000;

const log = getLogger('settings');

/** Options of a `SettingsWatcher`. */
export interface SettingsWatcherOptions<S> {
  readonly file: string;
  readonly schema: z.ZodType<S, z.ZodTypeDef, unknown>;
  /** Receives the settings whenever the file has changed and is valid. */
  readonly onChange: (settings: S) => void;
}

/** Reloads a settings file when it changes or when `reload` is called. */
export class SettingsWatcher<S> {
  private modifiedMs = 0;

  constructor(private readonly options: SettingsWatcherOptions<S>) {}

  /** Polls the file until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.modifiedMs = await this.readModificationTime();
    while (!signal.aborted) {
      await sleep(POLL_INTERVAL_MS, signal);
      if (signal.aborted) return;
      const modifiedMs = await this.readModificationTime();
      if (modifiedMs !== this.modifiedMs) await this.reload();
    }
  }

  /** Reloads the file now. Invalid settings are logged and not applied. */
  async reload(): Promise<void> {
    const {file, schema, onChange} = this.options;
    this.modifiedMs = await this.readModificationTime();
    const loaded = await loadSettings(file, schema);
    if (!loaded.ok) {
      log.error(
        'The changed settings are invalid; keeping the previous ones.',
        {
          reason: loaded.error.message,
        },
      );
      return;
    }
    log.info('Reloaded the settings.', {file});
    onChange(loaded.value as S);
  }

  /** Returns the modification time, or the last known one if stat fails. */
  private async readModificationTime(): Promise<number> {
    try {
      return (await stat(this.options.file)).mtimeMs;
    } catch (error) {
      const {code} = error as NodeJS.ErrnoException;
      log.warn('Cannot stat the settings file; retrying.', {reason: code});
      return this.modifiedMs;
    }
  }
}
