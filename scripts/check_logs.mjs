// Checks that the operators' page lists every log message of the code, with its
// part and level, and no others.
import process from 'node:process';
import {readFileSync} from 'node:fs';
import {globSync} from './glob_sync.mjs';

const PAGE = 'docs/operators/logs.md';
const SOURCES = /\/src\/.*\.ts$/;
const PART = /getLogger\('([^']+)'\)/;
/** A call with a literal message, on the module's logger or on a named one. */
const CALL =
  /\b(?:log|getLogger\('([^']+)'\))\s*\.(debug|info|warn|error)\(\s*'((?:[^'\\]|\\.)*)'/g;
const ROW = /^\| (\w+) \| (debug|info|warn|error) \| (.+?) \| /gm;

const inCode = new Set();
for (const file of [
  ...globSync('packages', SOURCES),
  ...globSync('platform', SOURCES),
]) {
  if (file.includes('/dist/')) continue;
  const text = readFileSync(file, 'utf8');
  const own = PART.exec(text)?.[1];
  for (const [, named, level, message] of text.matchAll(CALL)) {
    inCode.add(`${named ?? own} ${level}: ${message}`);
  }
}
const page = readFileSync(PAGE, 'utf8');
const onPage = new Set(
  [...page.matchAll(ROW)].map(
    ([, part, level, message]) => `${part} ${level}: ${message}`,
  ),
);
const faults = [
  ...[...inCode]
    .filter(line => !onPage.has(line))
    .map(line => `${PAGE} lacks "${line}"; add a row for it`),
  ...[...onPage]
    .filter(line => !inCode.has(line))
    .map(line => `${PAGE} lists "${line}", which no code writes; drop the row`),
];
for (const fault of faults) process.stderr.write(`${fault}\n`);
if (inCode.size === 0) {
  process.stderr.write('found no log message; run this from the repository\n');
}
process.exitCode = faults.length > 0 || inCode.size === 0 ? 1 : 0;
