// Processes whose processor time, memory and log lines are measured.
import {spawn} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';

const BASE_FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=4'];
const TICKS_PER_S = 100;
const MS_PER_SECOND = 1_000;

const children = [];
process.on('exit', () => children.forEach(child => child.kill('SIGKILL')));

/** Starts a binary with settings, which get a file in `folder`. */
export function startMeasured({binary, folder, settings, flags}) {
  const file = join(folder, `${settings.id}.yaml`);
  writeFileSync(file, JSON.stringify({...settings, logFormat: 'json'}));
  const child = spawn(
    process.execPath,
    [...BASE_FLAGS, ...flags, binary, '--config', file],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  child.logLines = 0;
  child.stdout.on('data', chunk => {
    child.logLines += String(chunk).split('\n').length - 1;
  });
  children.push(child);
  return child;
}

/** Milliseconds that a process has used in its own code and in the kernel. */
export function usedMs({pid}) {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1];
  const [user, system] = fields.split(' ').slice(11, 13).map(Number);
  return [user, system].map(ticks => (ticks * MS_PER_SECOND) / TICKS_PER_S);
}

/** Largest resident memory of a process so far. */
export function peakKb({pid}) {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+)/.exec(status)[1]);
}

/** Ends all processes, which write their profiles. */
export function endMeasured() {
  for (const child of children) child.kill('SIGTERM');
}
