// Checks that the operators' page on logs lists exactly the log messages of the
// code, each with its part and level.
import process from 'node:process';
import {readFileSync} from 'node:fs';
import {findFiles} from './find_files.mjs';

const LOGS_PAGE = 'docs/operators/logs.md';
const SOURCE_FILE_PATTERN = /\/src\/.*\.ts$/;
const MODULE_PART_PATTERN = /getLogger\('([^']+)'\)/;
/** A log call with a literal message, on `log` or on an inline `getLogger`. */
const LOG_CALL_PATTERN =
  /\b(?:log|getLogger\('([^']+)'\))\s*\.(debug|info|warn|error)\(\s*'((?:[^'\\]|\\.)*)'/g;
const ROW_PATTERN = /^\| (\w+) \| (debug|info|warn|error) \| (.+?) \| /gm;

const messagesInCode = new Set();
for (const file of [
  ...findFiles('packages', SOURCE_FILE_PATTERN),
  ...findFiles('platform', SOURCE_FILE_PATTERN),
]) {
  if (file.includes('/dist/')) continue;
  const text = readFileSync(file, 'utf8');
  const modulePart = MODULE_PART_PATTERN.exec(text)?.[1];
  for (const [, inlinePart, level, message] of text.matchAll(
    LOG_CALL_PATTERN,
  )) {
    messagesInCode.add(`${inlinePart ?? modulePart} ${level}: ${message}`);
  }
}
const page = readFileSync(LOGS_PAGE, 'utf8');
const messagesOnPage = new Set(
  [...page.matchAll(ROW_PATTERN)].map(
    ([, part, level, message]) => `${part} ${level}: ${message}`,
  ),
);
const violations = [
  ...[...messagesInCode]
    .filter(entry => !messagesOnPage.has(entry))
    .map(entry => `${LOGS_PAGE} is missing "${entry}"; add a row for it`),
  ...[...messagesOnPage]
    .filter(entry => !messagesInCode.has(entry))
    .map(
      entry =>
        `${LOGS_PAGE} lists "${entry}", which no code logs; remove the row`,
    ),
];
for (const violation of violations) process.stderr.write(`${violation}\n`);
if (messagesInCode.size === 0) {
  process.stderr.write(
    'found no log messages; run this from the root of the repository\n',
  );
}
process.exitCode = violations.length > 0 || messagesInCode.size === 0 ? 1 : 0;
