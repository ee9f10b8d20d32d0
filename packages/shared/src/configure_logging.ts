import log from 'loglevel';
import {LogFormat} from './log_format.js';
import {LogLevel} from './log_level.js';
import {LogLimiter} from './log_limiter.js';
import {surviveClosedOutput} from './survive_closed_output.js';

/** Bytes of output that may be buffered for a slow reader. */
const MAX_BUFFERED_BYTES = 256 * 1_024;

/** Options of `configureLogging`. */
export interface LoggingOptions {
  readonly level?: LogLevel;
  readonly format?: LogFormat;
  /** Id of the host, written into each line. */
  readonly host?: string;
}

/**
 * Sets level and format for every logger of the process. JSON lines go to
 * standard output, text to standard error.
 */
export function configureLogging(options: LoggingOptions = {}): void {
  surviveClosedOutput();
  const format = options.format ?? LogFormat.Text;
  const limiter = new LogLimiter();
  const methodFactory: log.MethodFactory = (methodName, _level, loggerName) => {
    const part = String(loggerName);
    return (message: string, fields?: object) => {
      if (format === LogFormat.Json) {
        writeRateLimited(limiter, part, message, dropped =>
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
 * Writes a JSON line, or drops it if its message is over the rate limit, too
 * much output is buffered for a slow reader, or the reader has exited. Logging
 * never blocks or ends the process.
 */
function writeRateLimited(
  limiter: LogLimiter,
  part: string,
  message: string,
  formatLine: (dropped: number) => string,
): void {
  const limiterKey = `${part} ${message}`;
  const dropped = limiter.admit(limiterKey);
  if (dropped === undefined) return;
  const {stdout} = process;
  if (!stdout.writable || stdout.writableLength > MAX_BUFFERED_BYTES) {
    for (let line = 0; line <= dropped; line++)
      limiter.countDropped(limiterKey);
    return;
  }
  stdout.write(formatLine(dropped));
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
  const fieldsText = fields
    ? Object.entries(fields)
        .map(([name, value]) => ` ${name}=${String(value)}`)
        .join('')
    : '';
  const hostPrefix = host ? `${host} ` : '';
  return `${time} ${level.padEnd(5)} ${hostPrefix}[${part}] ${message}${fieldsText}\n`;
}
