import assert from 'node:assert/strict';
import {spawn, spawnSync, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {open, type FileHandle} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface, type Interface} from 'node:readline';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

const SCRIPT = fileURLToPath(new URL('stoppable_process.js', import.meta.url));
const SETTINGS = 'id: host-1\n';
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
const ALL_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
const RECEIVED = 'Received a signal.';
const TIMEOUT_MS = 20_000;
const IGNORED = 'Ignored a signal, as the process is to stop.';

// A signal whose handler was gone, or not there yet, ended the process at once.
describe('a process that receives signals', {timeout: TIMEOUT_MS}, () => {
  let folder: string;
  let settingsFile: string;
  let child: ChildProcess;
  let lines: Interface;
  let exited: Promise<unknown[]>;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'vmux-signals-'));
    settingsFile = join(folder, 'settings.yaml');
  });

  afterEach(() => {
    child.kill('SIGKILL');
    rmSync(folder, {recursive: true});
  });

  function start(): void {
    const args = [SCRIPT, '--config', settingsFile];
    child = spawn(process.execPath, args, {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    lines = createInterface({input: child.stdout!});
    exited = once(child, 'exit');
  }

  /** Waits for a line, and fails if the process ends before. */
  function waitForLine(text: string, ...more: string[]): Promise<void> {
    return new Promise((resolve, reject) => {
      const onLine = (line: string): void => {
        if (![text, ...more].every(part => line.includes(part))) return;
        lines.off('line', onLine);
        lines.off('close', onClose);
        resolve();
      };
      const onClose = (): void =>
        reject(new Error(`ended before the line: ${text}`));
      lines.on('line', onLine);
      lines.once('close', onClose);
    });
  }

  async function startWithFile(): Promise<void> {
    writeFileSync(settingsFile, SETTINGS);
    start();
    await waitForLine('step start');
  }

  /** Opens the settings, a named pipe, as soon as the process reads them. */
  function openSettings(): Promise<FileHandle> {
    return open(settingsFile, 'w');
  }

  async function startWithPipe(): Promise<FileHandle> {
    assert.equal(spawnSync('mkfifo', [settingsFile]).status, 0);
    start();
    return openSettings();
  }

  async function send(
    signal: NodeJS.Signals,
    message: string,
    phase: string,
  ): Promise<void> {
    const handled = waitForLine(message, `"${signal}"`, `"${phase}"`);
    child.kill(signal);
    await handled;
  }

  async function endStep(next: string): Promise<void> {
    const begun = waitForLine(next);
    child.stdin!.write('\n');
    await begun;
  }

  async function assertStops(): Promise<void> {
    child.stdin!.write('\n');
    assert.deepEqual(await exited, [0, null]);
  }

  for (const first of STOP_SIGNALS) {
    it(`completes a stop by ${first} though signals repeat`, async () => {
      await startWithFile();
      await endStep('"Started."');
      const stopping = waitForLine('step stop');
      child.kill(first);
      await stopping;
      let hasReloaded = false;
      lines.on('line', line => (hasReloaded ||= line === 'step reconfigure'));
      for (const signal of [...ALL_SIGNALS, ...ALL_SIGNALS])
        await send(signal, IGNORED, 'stopping');
      await assertStops();
      assert.equal(hasReloaded, false);
    });

    it(`starts and then stops after ${first} during the start`, async () => {
      await startWithFile();
      await send(first, RECEIVED, 'starting');
      for (const signal of ALL_SIGNALS) await send(signal, IGNORED, 'starting');
      await endStep('step stop');
      await assertStops();
    });

    it(`stops after ${first} while it reads its settings`, async () => {
      const settings = await startWithPipe();
      child.kill(first);
      child.stdin!.write('\n\n');
      await settings.writeFile(SETTINGS);
      await settings.close();
      assert.deepEqual(await exited, [0, null]);
    });
  }

  it('reloads its settings after SIGHUP while it reads them', async () => {
    const settings = await startWithPipe();
    child.kill('SIGHUP');
    const started = waitForLine('step start');
    await settings.writeFile(SETTINGS);
    await settings.close();
    await started;
    const reloading = openSettings();
    await endStep('"Started."');
    const reloaded = waitForLine('step reconfigure');
    const changedSettings = await reloading;
    await changedSettings.writeFile(SETTINGS);
    await changedSettings.close();
    await reloaded;
    const stopping = waitForLine('step stop');
    child.kill('SIGTERM');
    await stopping;
    await assertStops();
  });
});
