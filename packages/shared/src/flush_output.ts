import process from 'node:process';
import {sleep} from './sleep.js';

const CHECK_MS = 10;

/**
 * Waits until the lines written to standard output have left the process, at
 * most `limitMs`. Output to a pipe is written when its reader has room, and an
 * exit drops what still waits.
 */
export async function flushOutput(limitMs: number): Promise<void> {
  for (let ms = 0; ms < limitMs; ms += CHECK_MS) {
    if (process.stdout.writableLength === 0) return;
    await sleep(CHECK_MS);
  }
}
