// Checks that packages import each other one way only, through their public
// face, and that file names are in snake_case.
import process from 'node:process';
import {readFileSync} from 'node:fs';
import {basename} from 'node:path';
import {globSync} from './glob_sync.mjs';

/** Packages from the bottom up; each may import only those before it. */
const ORDER = [
  'shared',
  'storage',
  'rpc',
  'protocol',
  'consensus',
  'control',
  'membership',
  'routing',
  'limits',
  'entry',
  'engine',
  'query',
  'cli',
  'fleet',
  'load',
];
const IMPORT = /from '(@vanillamux\/([a-z]+)([^']*)|[^']*)'/g;
const faults = [];

for (const file of globSync('packages', /\/(src|__tests__)\/.*\.ts$/)) {
  if (file.includes('/dist/')) continue;
  const [, owner] = file.split('/');
  const rank = ORDER.indexOf(owner);
  if (rank < 0) faults.push(`${file}: package ${owner} is not in the order`);
  if (!/^[a-z0-9_]+(\.test)?\.ts$/.test(basename(file))) {
    faults.push(`${file}: file name is not in snake_case`);
  }
  for (const [, path, target, rest] of readFileSync(file, 'utf8').matchAll(
    IMPORT,
  )) {
    if (target && rest) faults.push(`${file}: reaches into ${path}`);
    const isUp = target && ORDER.indexOf(target) >= rank;
    if (isUp) faults.push(`${file}: ${owner} may not import ${target}`);
  }
}

for (const fault of faults) process.stderr.write(`${fault}\n`);
process.exitCode = faults.length > 0 ? 1 : 0;
