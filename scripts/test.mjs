// Builds the packages and runs all tests. A failure that KNOWN-RED.txt lists is
// reported like any other, but does not fail the run.
import {existsSync, readFileSync} from 'node:fs';
import {relative} from 'node:path';
import process from 'node:process';
import {run} from 'node:test';
import {tap} from 'node:test/reporters';
import {inspect} from 'node:util';
import {findFiles} from './find_files.mjs';
import {build} from './build.mjs';

const CONCURRENCY = 4;
const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
/** First line of an entry: the test's file below `packages/`, then its name. */
const ENTRY_PATTERN = /^(\S+\.test\.ts) "(.+)"$/gm;

/** Whether a suite or file failed only because a test inside it failed. */
function isSubtestFailure({details}) {
  return details.error.failureType === 'subtestsFailed';
}

/** Formats a failed test like the first line of its entry in KNOWN-RED.txt. */
function formatEntry({file, name}) {
  const sourcePath = relative(process.cwd(), file ?? '')
    .replace('/dist/', '/')
    .replace(/^packages\//, '')
    .replace(/\.js$/, '.ts');
  return `${sourcePath} "${name}"`;
}

/** The error of a failed test, indented, without the runner's wrapping. */
function formatError({details}) {
  const text = inspect(details.error.cause ?? details.error);
  return text.replace(/^/gm, '  ');
}

function readKnownFailures() {
  const text = existsSync(KNOWN_FAILURES_FILE)
    ? readFileSync(KNOWN_FAILURES_FILE, 'utf8')
    : '';
  return new Set([...text.matchAll(ENTRY_PATTERN)].map(([line]) => line));
}

build();
const files = ['packages', 'platform'].flatMap(folder =>
  findFiles(folder, /\/dist\/__tests__\/.*\.test\.js$/),
);
const knownFailures = readKnownFailures();
const ignoredFailures = [];
const otherFailures = [];
const tests = run({files, concurrency: CONCURRENCY});
tests.on('test:fail', event => {
  if (isSubtestFailure(event)) return;
  const entry = formatEntry(event);
  if (knownFailures.has(entry)) {
    ignoredFailures.push(entry);
  } else {
    otherFailures.push(`${entry}\n${formatError(event)}`);
    process.exitCode = 1;
  }
});
tests.compose(tap).pipe(process.stdout);
process.on('exit', () => {
  for (const entry of ignoredFailures) {
    process.stdout.write(`known failure: ${entry}\n`);
  }
  // Repeated here, as the report is too long for some CI logs.
  for (const failure of otherFailures) {
    process.stdout.write(`failure: ${failure}\n`);
  }
});
