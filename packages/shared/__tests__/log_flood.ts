import process from 'node:process';
import {
  configureLogging,
  flushOutput,
  getLogger,
  LogFormat,
  LogLevel,
} from '../src/index.js';

const LINE_COUNT = 20_000;
const FLUSH_TIMEOUT_MS = 10_000;

/**
 * Logs more than any pipe holds, says on standard error that it goes on, and
 * exits with a last line when its output is written.
 */
async function flood(): Promise<void> {
  configureLogging({format: LogFormat.Json, level: LogLevel.Info});
  const log = getLogger('flood');
  for (let line = 0; line < LINE_COUNT; line++) {
    log.info(`Line ${line}.`, {text: 'x'.repeat(100)});
  }
  process.stderr.write('done');
  await flushOutput(FLUSH_TIMEOUT_MS);
  log.info('Last line.');
  await flushOutput(FLUSH_TIMEOUT_MS);
  process.exit(0);
}

void flood();
