// Verifies the specifications in models/ exhaustively with Spin, and checks
// that Spin finds a counterexample to each mutation that a head comment lists,
// within at least one of the bounds.
import process from 'node:process';
import {execFile, spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {promisify} from 'node:util';
import {findFiles} from './find_files.mjs';

const MUTATION_PATTERN = /^ \* {3}([A-Z_]+) /gm;
const BOUNDS_PATTERN = /^ \* {3}bounds (.+)$/gm;
const MAX_SEARCH_DEPTH = 1_000_000;
/** Checks that run in parallel; each uses up to 2 GB of memory. */
const MAX_PARALLEL_CHECKS = 4;
const execFileAsync = promisify(execFile);

if (spawnSync('spin', ['-V']).status !== 0) {
  process.stderr.write(
    'Spin is not installed. Install it with: apt-get install spin\n',
  );
  process.exit(1);
}

const checks = findFiles('models', /\.pml$/).flatMap(planChecks);
const pendingChecks = [...checks];
await Promise.all(Array.from({length: MAX_PARALLEL_CHECKS}, runPendingChecks));

let passed = 0;
let failed = 0;
const subjects = new Map(checks.map(check => [check.subject, check]));
for (const [subject, {mutation}] of subjects) {
  const subjectChecks = checks.filter(check => check.subject === subject);
  const hasCounterexample = subjectChecks.some(({errors}) => errors > 0);
  const isComplete = subjectChecks.every(({isExhaustive}) => isExhaustive);
  const hasPassed = mutation
    ? hasCounterexample
    : !hasCounterexample && isComplete;
  if (hasPassed) passed++;
  else failed++;
  process.stdout.write(`${hasPassed ? 'ok' : 'NOT OK'} ${subject}\n`);
  for (const {defines, states} of subjectChecks) {
    process.stdout.write(
      `  ${defines.join(' ') || 'as written'}: ${states} states\n`,
    );
  }
}
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed > 0 ? 1 : 0;

/**
 * Plans one check per set of bounds, for the specification as written and for
 * each of its mutations.
 */
function planChecks(file) {
  const text = readFileSync(file, 'utf8');
  const declaredBounds = [...text.matchAll(BOUNDS_PATTERN)].map(([, list]) =>
    list.split(' '),
  );
  const mutations = [...text.matchAll(MUTATION_PATTERN)].map(
    ([, name]) => name,
  );
  const allBounds = declaredBounds.length > 0 ? declaredBounds : [[]];
  return [undefined, ...mutations].flatMap(mutation =>
    allBounds.map(boundDefines => ({
      file,
      mutation,
      subject: mutation ? `${file} refutes ${mutation}` : `${file} holds`,
      defines: mutation ? [...boundDefines, mutation] : boundDefines,
    })),
  );
}

async function runPendingChecks() {
  for (
    let check = pendingChecks.shift();
    check;
    check = pendingChecks.shift()
  ) {
    Object.assign(check, await runCheck(check));
  }
}

async function runCheck({file, defines}) {
  const folder = mkdtempSync(join(tmpdir(), 'vmux-model-'));
  const options = {cwd: folder};
  const defineFlags = defines.map(name => `-D${name}`);
  await execFileAsync('spin', [...defineFlags, '-a', resolve(file)], options);
  const compilerFlags = [
    '-O2',
    '-w',
    '-DSAFETY',
    '-DCOLLAPSE',
    '-DVECTORSZ=2048',
  ];
  await execFileAsync('gcc', [...compilerFlags, '-o', 'pan', 'pan.c'], options);
  const {stdout} = await execFileAsync(
    './pan',
    [`-m${MAX_SEARCH_DEPTH}`, '-w24'],
    options,
  );
  rmSync(folder, {recursive: true});
  return {
    errors: Number(/errors: (\d+)/.exec(stdout)?.[1]),
    states: Number(/([\d.e+]+) states, stored/.exec(stdout)?.[1]),
    isExhaustive: !/search depth too small|out of memory/.test(stdout),
  };
}
