import {cac} from 'cac';
import type {z} from 'zod';
import {configureLogging} from './configure_logging.js';
import {getLogger} from './get_logger.js';
import {loadSettings} from './load_settings.js';
import type {LogFormat} from './log_format.js';
import type {LogLevel} from './log_level.js';
import type {Result} from './result.js';
import {VERSION} from './version.js';
import {waitForSignal} from './wait_for_signal.js';

const EXIT_BAD_SETTINGS = 2;
const EXIT_START_FAILED = 3;

/** The settings that every long-running binary has. */
interface CommonSettings {
  readonly id: string;
  readonly logLevel: LogLevel;
  readonly logFormat: LogFormat;
}

/** A long-running part that ends gracefully. */
export interface Stoppable {
  stop(): Promise<void>;
}

/** Options of `runBinary`. */
export interface BinaryOptions<S extends CommonSettings> {
  /** Name of the binary, for example `vmux-entry`. */
  readonly name: string;
  readonly description: string;
  /** Settings file that is read when no other is given. */
  readonly defaultConfig: string;
  readonly schema: z.ZodType<S, z.ZodTypeDef, unknown>;
  readonly start: (settings: S) => Promise<Result<Stoppable>>;
}

interface Flags {
  readonly config: string;
  readonly logLevel?: LogLevel;
  readonly logFormat?: LogFormat;
}

/**
 * Runs a long-running binary: reads its settings, starts it and stops it on
 * SIGTERM or SIGINT. Exit codes: 0 stopped, 2 bad settings, 3 cannot start.
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
    .action((flags: Flags) => run(options, flags));
  cli.help();
  cli.version(VERSION);
  cli.parse();
}

async function run<S extends CommonSettings>(
  options: BinaryOptions<S>,
  flags: Flags,
): Promise<void> {
  const loaded = await loadSettings(flags.config, options.schema);
  if (!loaded.ok) {
    process.stderr.write(`${loaded.error.message}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
  const settings: S = loaded.value;
  configureLogging({
    level: flags.logLevel ?? settings.logLevel,
    format: flags.logFormat ?? settings.logFormat,
    host: settings.id,
  });
  const signal = waitForSignal();
  const started = await options.start(settings);
  if (!started.ok) {
    getLogger('start').error(started.error.message);
    process.exit(EXIT_START_FAILED);
  }
  await signal;
  await started.value.stop();
  process.exit(0);
}
