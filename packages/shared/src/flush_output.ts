import process from 'node:process';
import {monotonicMs} from './monotonic_ms.js';
import {sleep} from './sleep.js';

const POLL_INTERVAL_MS = 10;

/**
 * Waits until standard output is flushed, at most `timeoutMs`. A pipe accepts
 * output only as fast as its reader drains it, and an exit of the process drops
 * the output that is still buffered. Output whose reader has exited is lost.
 */
export async function flushOutput(timeoutMs: number): Promise<void> {
  const deadlineMs = monotonicMs() + timeoutMs;
  const {stdout} = process;
  while (
    stdout.writable &&
    stdout.writableLength > 0 &&
    monotonicMs() < deadlineMs
  ) {
    await sleep(POLL_INTERVAL_MS);
  }
}
