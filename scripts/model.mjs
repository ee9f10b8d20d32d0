// Checks the specifications in models/ exhaustively with Spin, and that each
// mutation in their head comments is refuted within one of the bounds.
import process from 'node:process';
import {execFile, spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {promisify} from 'node:util';
import {globSync} from './glob_sync.mjs';

const MUTATION = /^ \* {3}([A-Z_]+) /gm;
const BOUNDS = /^ \* {3}bounds (.+)$/gm;
const SEARCH_DEPTH = 100_000;
/** Checks that run at once; each takes up to 2 GB. */
const PARALLEL = 4;
const execute = promisify(execFile);

if (spawnSync('spin', ['-V']).status !== 0) {
  process.stderr.write(
    'Spin is not installed. Install it with: apt-get install spin\n',
  );
  process.exit(1);
}

const checks = globSync('models', /\.pml$/).flatMap(planChecks);
const waiting = [...checks];
await Promise.all(Array.from({length: PARALLEL}, work));

let passed = 0;
let failed = 0;
const subjects = new Map(checks.map(check => [check.subject, check]));
for (const [subject, {mutation}] of subjects) {
  const runs = checks.filter(check => check.subject === subject);
  const isRefuted = runs.some(({errors}) => errors > 0);
  const isWhole = runs.every(({isExhaustive}) => isExhaustive);
  const ok = mutation ? isRefuted : !isRefuted && isWhole;
  if (ok) passed++;
  else failed++;
  process.stdout.write(`${ok ? 'ok' : 'NOT OK'} ${subject}\n`);
  for (const {defines, states} of runs) {
    process.stdout.write(
      `  ${defines.join(' ') || 'as written'}: ${states} states\n`,
    );
  }
}
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed > 0 ? 1 : 0;

/** One check for each bound of the specification and of each mutation. */
function planChecks(file) {
  const text = readFileSync(file, 'utf8');
  const bounds = [...text.matchAll(BOUNDS)].map(([, list]) => list.split(' '));
  const mutations = [...text.matchAll(MUTATION)].map(([, name]) => name);
  const all = bounds.length > 0 ? bounds : [[]];
  return [undefined, ...mutations].flatMap(mutation =>
    all.map(bound => ({
      file,
      mutation,
      subject: mutation ? `${file} refutes ${mutation}` : `${file} holds`,
      defines: mutation ? [...bound, mutation] : bound,
    })),
  );
}

async function work() {
  for (let check = waiting.shift(); check; check = waiting.shift()) {
    Object.assign(check, await run(check));
  }
}

async function run({file, defines}) {
  const folder = mkdtempSync(join(tmpdir(), 'vmux-model-'));
  const options = {cwd: folder};
  const names = defines.map(name => `-D${name}`);
  await execute('spin', [...names, '-a', resolve(file)], options);
  const flags = ['-O2', '-w', '-DSAFETY', '-DCOLLAPSE', '-DVECTORSZ=2048'];
  await execute('gcc', [...flags, '-o', 'pan', 'pan.c'], options);
  const {stdout} = await execute(
    './pan',
    [`-m${SEARCH_DEPTH}`, '-w24'],
    options,
  );
  rmSync(folder, {recursive: true});
  return {
    errors: Number(/errors: (\d+)/.exec(stdout)?.[1]),
    states: Number(/([\d.e+]+) states, stored/.exec(stdout)?.[1]),
    isExhaustive: !/search depth too small|out of memory/.test(stdout),
  };
}
