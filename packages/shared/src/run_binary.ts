import {cac} from 'cac';
import type {z} from 'zod';
import {configureLogging} from './configure_logging.js';
import {flushOutput} from './flush_output.js';
import {getLogger} from './get_logger.js';
import {loadSettings} from './load_settings.js';
import type {LogFormat} from './log_format.js';
import type {LogLevel} from './log_level.js';
import {ProcessSignals} from './process_signals.js';
import type {Result} from './result.js';
import {SettingsWatcher} from './settings_watcher.js';
import {VERSION} from './version.js';

const EXIT_INVALID_SETTINGS = 2;
const EXIT_START_FAILED = 3;

/** Time allowed for flushing the last log lines before the process exits. */
const LOG_FLUSH_TIMEOUT_MS = 100;

/** The settings that every long-running binary has. */
interface CommonSettings {
  readonly id: string;
  readonly logLevel: LogLevel;
  readonly logFormat: LogFormat;
}

/** A long-running component that can be stopped gracefully. */
export interface Stoppable<S = unknown> {
  stop(): Promise<void>;
  /** Applies changed settings, except those that need a restart. */
  reconfigure?(settings: S): void;
}

/** Options of `runBinary`. */
export interface BinaryOptions<S extends CommonSettings> {
  /** Name of the binary, for example `vmux-entry`. */
  readonly name: string;
  readonly description: string;
  /** Settings file that is read when no other is given. */
  readonly defaultConfig: string;
  readonly schema: z.ZodType<S, z.ZodTypeDef, unknown>;
  readonly start: (settings: S) => Promise<Result<Stoppable<S>>>;
}

interface CliFlags {
  readonly config: string;
  readonly logLevel?: LogLevel;
  readonly logFormat?: LogFormat;
}

/**
 * Runs a long-running binary: loads its settings, starts it, and stops it on
 * SIGTERM or SIGINT. SIGHUP reloads the settings. Signals after the first of
 * SIGTERM and SIGINT change nothing; only SIGKILL cuts a stop short. Exit codes:
 * 0 stopped, 2 invalid settings, 3 failed to start.
 */
export function runBinary<S extends CommonSettings>(
  options: BinaryOptions<S>,
): void {
  const cli = cac(options.name);
  cli
    .command('', options.description)
    .option('--config <file>', 'YAML settings file', {
      default: options.defaultConfig,
    })
    .option('--log-level <level>', 'debug, info, warn or error')
    .option('--log-format <format>', 'text or json')
    .action((flags: CliFlags) => runWithFlags(options, flags));
  cli.help();
  cli.version(VERSION);
  cli.parse();
}

async function runWithFlags<S extends CommonSettings>(
  options: BinaryOptions<S>,
  flags: CliFlags,
): Promise<void> {
  const signals = new ProcessSignals();
  const loaded = await loadSettings(flags.config, options.schema);
  if (!loaded.ok) {
    process.stderr.write(`${loaded.error.message}\n`);
    process.exit(EXIT_INVALID_SETTINGS);
  }
  const settings: S = loaded.value;
  configureLogging({
    level: flags.logLevel ?? settings.logLevel,
    format: flags.logFormat ?? settings.logFormat,
    host: settings.id,
  });
  if (signals.isStopRequested) return exit(signals);
  const started = await options.start(settings);
  if (!started.ok) {
    getLogger('start').error(started.error.message);
    process.exit(EXIT_START_FAILED);
  }
  const watcherAbort = new AbortController();
  const watcher = new SettingsWatcher({
    file: flags.config,
    schema: options.schema,
    onChange: newSettings => {
      if (!signals.isStopRequested) started.value.reconfigure?.(newSettings);
    },
  });
  void watcher.run(watcherAbort.signal);
  getLogger('start').info('Started.', {version: VERSION});
  signals.markStarted(() => void watcher.reload());
  await exit(signals, async () => {
    watcherAbort.abort();
    await started.value.stop();
  });
}

/** Exits once a stop is requested and `stop` is done. */
async function exit(
  signals: ProcessSignals,
  stop?: () => Promise<void>,
): Promise<void> {
  const signal = await signals.waitForStop();
  getLogger('start').info('Stopping.', {signal});
  await stop?.();
  await flushOutput(LOG_FLUSH_TIMEOUT_MS);
  process.exit(0);
}
