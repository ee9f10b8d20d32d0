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
  'membership',
  'control',
  'routing',
  'limits',
  'gateway',
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

// Names of the users' platform are translated in platform/ and known nowhere
// else; platform/ uses the packages and none of them uses it.
const WIRE_NAMES =
  /X-Api-Key|Expected-Instance|Worker-Signature|Not-Executed|Assist-Workers|Token-Usage|Attempt-Id|Deadline-Ms|At-Server|Tenant-Name|Worker-Load|Instance-Id|Length-Hint|tenant_list|heartbeat_addr|path_prefix|kv_capacity|latency_goal_ms|zone_name|seed_nodes|contract_bounds|control_plane|@vanillamux\/platform/i;
for (const file of globSync('packages', /\/(src|__tests__)\/.*\.ts$/)) {
  if (file.includes('/dist/')) continue;
  const found = WIRE_NAMES.exec(readFileSync(file, 'utf8'));
  if (found) faults.push(`${file}: ${found[0]} belongs in platform/`);
}
for (const file of globSync('platform', /\/(src|__tests__)\/.*\.ts$/)) {
  if (file.includes('/dist/')) continue;
  if (!/^[a-z0-9_]+(\.test)?\.ts$/.test(basename(file))) {
    faults.push(`${file}: file name is not in snake_case`);
  }
  for (const [, path, , rest] of readFileSync(file, 'utf8').matchAll(IMPORT)) {
    if (rest) faults.push(`${file}: reaches into ${path}`);
  }
}

for (const fault of faults) process.stderr.write(`${fault}\n`);
process.exitCode = faults.length > 0 ? 1 : 0;
