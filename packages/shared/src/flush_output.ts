import process from 'node:process';
import {sleep} from './sleep.js';

const POLL_INTERVAL_MS = 10;

/**
 * Waits until the lines written to standard output have left the process, at
 * most `limitMs`. Output to a pipe is written when its reader has room, and an
 * exit drops what still waits.
 */
export async function flushOutput(timeoutMs: number): Promise<void> {
  for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += POLL_INTERVAL_MS) {
    if (process.stdout.writableLength === 0) return;
    await sleep(POLL_INTERVAL_MS);
  }
}
