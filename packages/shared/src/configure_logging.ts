import log from 'loglevel';
import {LogFormat} from './log_format.js';
import {LogLevel} from './log_level.js';
import {LogLimiter} from './log_limiter.js';

/** Bytes of output that may wait for their reader. */
const MAX_WAITING_BYTES = 256 * 1_024;

/** Options of `configureLogging`. */
export interface LoggingOptions {
  readonly level?: LogLevel;
  readonly format?: LogFormat;
  /** Identity of the process, written into each line. */
  readonly host?: string;
}

/**
 * Sets level and format for every logger of the process. Structured lines go
 * to standard output, text to standard error.
 */
export function configureLogging(options: LoggingOptions = {}): void {
  const format = options.format ?? LogFormat.Text;
  const limiter = new LogLimiter();
  const methodFactory: log.MethodFactory = (methodName, _level, loggerName) => {
    const part = String(loggerName);
    return (message: string, fields?: object) => {
      if (format === LogFormat.Json) {
        writeLimited(limiter, part, message, dropped =>
          formatJson(methodName, part, message, options.host, {
            ...fields,
            ...(dropped > 0 ? {dropped} : {}),
          }),
        );
      } else {
        process.stderr.write(
          formatText(methodName, part, message, options.host, fields),
        );
      }
    };
  };
  const level = options.level ?? LogLevel.Info;
  log.methodFactory = methodFactory;
  log.setLevel(level, false);
  for (const logger of Object.values(log.getLoggers())) {
    logger.methodFactory = methodFactory;
    logger.setLevel(level, false);
  }
}

/**
 * Writes a structured line unless there are too many of its kind or the reader
 * of the output does not keep up; logging never makes the process wait.
 */
function writeLimited(
  limiter: LogLimiter,
  part: string,
  message: string,
  format: (dropped: number) => string,
): void {
  const kind = `${part} ${message}`;
  const dropped = limiter.admit(kind);
  if (dropped === undefined) return;
  if (process.stdout.writableLength > MAX_WAITING_BYTES) {
    for (let line = 0; line <= dropped; line++) limiter.noteDropped(kind);
    return;
  }
  process.stdout.write(format(dropped));
}

function formatJson(
  level: string,
  part: string,
  message: string,
  host?: string,
  fields?: object,
): string {
  const time = new Date().toISOString();
  return `${JSON.stringify({time, level, host, part, message, ...fields})}\n`;
}

function formatText(
  level: string,
  part: string,
  message: string,
  host?: string,
  fields?: object,
): string {
  const time = new Date().toISOString();
  const details = fields
    ? Object.entries(fields)
        .map(([name, value]) => ` ${name}=${String(value)}`)
        .join('')
    : '';
  const origin = host ? `${host} ` : '';
  return `${time} ${level.padEnd(5)} ${origin}[${part}] ${message}${details}\n`;
}
