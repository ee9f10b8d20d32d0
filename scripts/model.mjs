// Checks the specifications in models/ exhaustively with Spin, and that each
// mutation in their head comments is refuted.
import process from 'node:process';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {globSync} from './glob_sync.mjs';

const MUTATION = /^ \* {3}([A-Z_]+) /gm;
const BOUNDS = /^ \* {3}bounds (.+)$/gm;
const SEARCH_DEPTH = 100_000;

if (spawnSync('spin', ['-V']).status !== 0) {
  process.stderr.write(
    'Spin is not installed. Install it with: apt-get install spin\n',
  );
  process.exit(1);
}

let passed = 0;
let failed = 0;
for (const file of globSync('models', /\.pml$/)) {
  const text = readFileSync(file, 'utf8');
  const bounds = [...text.matchAll(BOUNDS)].map(([, list]) => list.split(' '));
  const mutations = [...text.matchAll(MUTATION)].map(([, name]) => name);
  const all = bounds.length > 0 ? bounds : [[]];
  const holds = all.every(defines => check(file, defines).errors === 0);
  report(file, 'holds', holds);
  for (const mutation of mutations) {
    const refuted = all.some(
      defines => check(file, [...defines, mutation]).errors > 0,
    );
    report(file, `refutes ${mutation}`, refuted);
  }
}
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed > 0 ? 1 : 0;

function report(file, what, ok) {
  if (ok) passed++;
  else failed++;
  process.stdout.write(`${ok ? 'ok' : 'NOT OK'} ${file} ${what}\n`);
}

function check(file, defines) {
  const folder = mkdtempSync(join(tmpdir(), 'vmux-model-'));
  const define = defines.map(name => `-D${name}`);
  must('spin', [...define, '-a', resolve(file)], folder);
  must(
    'gcc',
    [
      '-O2',
      '-w',
      '-DSAFETY',
      '-DCOLLAPSE',
      '-DVECTORSZ=2048',
      '-o',
      'pan',
      'pan.c',
    ],
    folder,
  );
  const {stdout} = spawnSync('./pan', [`-m${SEARCH_DEPTH}`, '-w24'], {
    cwd: folder,
    encoding: 'utf8',
  });
  rmSync(folder, {recursive: true});
  const errors = Number(/errors: (\d+)/.exec(stdout)?.[1]);
  const states = Number(/([\d.e+]+) states, stored/.exec(stdout)?.[1]);
  if (/max search depth too small|out of memory/.test(stdout)) {
    process.stderr.write(`${file}: the search was not exhaustive\n`);
    failed++;
  }
  process.stdout.write(
    `  ${defines.join(' ') || 'as specified'}: ${states} states\n`,
  );
  return {errors, states};
}

function must(command, args, cwd) {
  const {status, stderr} = spawnSync(command, args, {cwd, encoding: 'utf8'});
  if (status === 0) return;
  process.stderr.write(stderr);
  process.exit(1);
}
