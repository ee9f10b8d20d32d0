import process from 'node:process';
import {sleep} from './sleep.js';

const POLL_INTERVAL_MS = 10;

/**
 * Waits until standard output is flushed, at most `timeoutMs`. A pipe accepts
 * output only as fast as its reader drains it, and an exit of the process drops
 * the output that is still buffered.
 */
export async function flushOutput(timeoutMs: number): Promise<void> {
  for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += POLL_INTERVAL_MS) {
    if (process.stdout.writableLength === 0) return;
    await sleep(POLL_INTERVAL_MS);
  }
}
