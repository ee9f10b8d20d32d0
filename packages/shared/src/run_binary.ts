import {cac} from 'cac';
import type {z} from 'zod';
import {configureLogging} from './configure_logging.js';
import {Deferred} from './deferred.js';
import {flushOutput} from './flush_output.js';
import {getLogger} from './get_logger.js';
import {loadSettings} from './load_settings.js';
import type {LogFormat} from './log_format.js';
import type {LogLevel} from './log_level.js';
import type {Result} from './result.js';
import {SettingsWatcher} from './settings_watcher.js';
import {VERSION} from './version.js';
import {waitForSignal} from './wait_for_signal.js';

const EXIT_INVALID_SETTINGS = 2;
const EXIT_START_FAILED = 3;

/** Time for the last log lines of a process that stops. */
const LOG_FLUSH_TIMEOUT_MS = 100;

/** The settings that every long-running binary has. */
interface CommonSettings {
  readonly id: string;
  readonly logLevel: LogLevel;
  readonly logFormat: LogFormat;
}

/** A long-running part that ends gracefully. */
export interface Stoppable<S = unknown> {
  stop(): Promise<void>;
  /** Takes settings that have changed; what cannot change at run time stays. */
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
 * Runs a long-running binary: reads its settings, starts it and stops it on
 * SIGTERM or SIGINT. SIGHUP reads the settings again. Exit codes: 0 stopped, 2 bad settings, 3 cannot start.
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
  const signal = waitForSignal();
  // Without a listener, SIGHUP would end the process from its first moment on.
  const reloadHandler = new Deferred<() => void>();
  process.on(
    'SIGHUP',
    () => void reloadHandler.promise.then(reloadSettings => reloadSettings()),
  );
  const started = await options.start(settings);
  if (!started.ok) {
    getLogger('start').error(started.error.message);
    process.exit(EXIT_START_FAILED);
  }
  const watcher = new SettingsWatcher({
    file: flags.config,
    schema: options.schema,
    onChange: newSettings => started.value.reconfigure?.(newSettings),
  });
  reloadHandler.resolve(() => void watcher.reload());
  const watcherAbort = new AbortController();
  void watcher.run(watcherAbort.signal);
  getLogger('start').info('Started.', {version: VERSION});
  const signalName = await signal;
  getLogger('start').info('Stopping.', {signal: signalName});
  watcherAbort.abort();
  await started.value.stop();
  await flushOutput(LOG_FLUSH_TIMEOUT_MS);
  process.exit(0);
}
