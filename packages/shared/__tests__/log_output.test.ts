import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {after, describe, it} from 'node:test';

const SCRIPT = fileURLToPath(new URL('log_flood.js', import.meta.url));
const TIMEOUT_MS = 30_000;
/** Keeps the pipe open without reading, for longer than a test may take. */
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

  it('does not block the process while nobody reads it', async () => {
    const child = pipeInto(IDLE_READER);
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const [text] = await once(child.stderr!, 'data', {signal});
    assert.equal(String(text), 'done');
  });

  it('reaches a fast reader', async () => {
    const child = pipeInto('head -n 1');
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const [text] = await once(child.stdout!, 'data', {signal});
    assert.equal(JSON.parse(String(text)).message, 'Line 0.');
  });

  it('delivers its last line to a slow reader', async () => {
    const child = pipeInto('(sleep 0.3; tail -n 1)');
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const [text] = await once(child.stdout!, 'data', {signal});
    assert.equal(JSON.parse(String(text)).message, 'Last line.');
  });

  for (const {name, command} of [
    {name: 'standard output', command: (run: string) => `(${run}) | true`},
    {
      name: 'standard output and standard error',
      command: (run: string) => `(${run} 2>&1) | true`,
    },
  ]) {
    it(`does not end the process when the reader of its ${name} has exited`, async () => {
      const run = `"${process.execPath}" "${SCRIPT}"`;
      const child = spawn('sh', ['-c', command(`${run}; echo "exit $?" >&3`)], {
        stdio: ['ignore', 'ignore', 'pipe', 'pipe'],
        detached: true,
      });
      children.push(child);
      const signal = AbortSignal.timeout(TIMEOUT_MS);
      let written = '';
      let errors = '';
      child.stderr!.on('data', (chunk: Buffer) => (errors += String(chunk)));
      child.stdio[3]!.on('data', (chunk: Buffer) => (written += String(chunk)));
      await once(child, 'close', {signal});
      assert.equal(written, 'exit 0\n', errors);
    });
  }
});
