import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {after, describe, it} from 'node:test';

const SCRIPT = fileURLToPath(new URL('log_flood.js', import.meta.url));
const TIMEOUT_MS = 30_000;
/** Reads nothing for as long as the test may last. */
const IDLE_READER = 'sleep 60';

describe('the log of a process', () => {
  const children: ChildProcess[] = [];

  after(() => {
    for (const {pid, exitCode} of children) {
      if (exitCode === null) process.kill(-pid!, 'SIGKILL');
    }
  });

  /** Starts the script with its output piped into a reader by the shell. */
  function pipeInto(reader: string): ChildProcess {
    const command = `"${process.execPath}" "${SCRIPT}" | ${reader}`;
    const child = spawn('sh', ['-c', command], {
      stdio: ['ignore', 'pipe', 'pipe'],
      detached: true,
    });
    children.push(child);
    return child;
  }

  it('does not block while nobody reads it', async () => {
    const child = pipeInto(IDLE_READER);
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const [text] = await once(child.stderr!, 'data', {signal});
    assert.equal(String(text), 'done');
  });

  it('reaches a reader that keeps up', async () => {
    const child = pipeInto('head -n 1');
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const [text] = await once(child.stdout!, 'data', {signal});
    assert.equal(JSON.parse(String(text)).message, 'Line 0.');
  });

  it('has its last line for a slow reader', async () => {
    const child = pipeInto('(sleep 0.3; tail -n 1)');
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const [text] = await once(child.stdout!, 'data', {signal});
    assert.equal(JSON.parse(String(text)).message, 'Last line.');
  });

  it('ends no process whose reader is gone', async () => {
    const child = pipeInto('true');
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const [text] = await once(child.stderr!, 'data', {signal});
    assert.equal(String(text), 'done');
  });
});
