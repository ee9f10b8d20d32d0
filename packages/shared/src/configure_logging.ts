import log from 'loglevel';
import {LogFormat} from './log_format.js';
import {LogLevel} from './log_level.js';

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
  const methodFactory: log.MethodFactory = (methodName, _level, loggerName) => {
    const part = String(loggerName);
    return (message: string, fields?: object) => {
      if (format === LogFormat.Json) {
        const line = formatJson(
          methodName,
          part,
          message,
          options.host,
          fields,
        );
        process.stdout.write(line);
      } else {
        const line = formatText(
          methodName,
          part,
          message,
          options.host,
          fields,
        );
        process.stderr.write(line);
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
