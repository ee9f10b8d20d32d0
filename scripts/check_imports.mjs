// Checks that packages import only lower packages, through their index modules,
// and that file names are in snake_case.
import process from 'node:process';
import {readFileSync} from 'node:fs';
import {basename} from 'node:path';
import {findFiles} from './find_files.mjs';

/** Packages in layer order, lowest first; each may import only earlier ones. */
const PACKAGE_ORDER = [
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
const IMPORT_PATTERN = /from '(@vanillamux\/([a-z]+)([^']*)|[^']*)'/g;
const violations = [];

for (const file of findFiles('packages', /\/(src|__tests__)\/.*\.ts$/)) {
  if (file.includes('/dist/')) continue;
  const [, packageName] = file.split('/');
  const packageIndex = PACKAGE_ORDER.indexOf(packageName);
  if (packageIndex < 0) {
    violations.push(
      `${file}: package ${packageName} is missing from PACKAGE_ORDER`,
    );
  }
  if (!/^[a-z0-9_]+(\.test)?\.ts$/.test(basename(file))) {
    violations.push(`${file}: file name is not in snake_case`);
  }
  for (const [, specifier, importedPackage, subpath] of readFileSync(
    file,
    'utf8',
  ).matchAll(IMPORT_PATTERN)) {
    if (importedPackage && subpath) {
      violations.push(`${file}: ${specifier} is not an index module`);
    }
    const isForbidden =
      importedPackage && PACKAGE_ORDER.indexOf(importedPackage) >= packageIndex;
    if (isForbidden) {
      violations.push(
        `${file}: ${packageName} may not import ${importedPackage}`,
      );
    }
  }
}

// Names of the users' platform are translated in platform/ and must not occur
// in packages/. platform/ uses the packages, and no package uses it.
const PLATFORM_NAMES =
  /X-Api-Key|Expected-Instance|Worker-Signature|Not-Executed|Assist-Workers|Token-Usage|Attempt-Id|Deadline-Ms|At-Server|Tenant-Name|Worker-Load|Instance-Id|Length-Hint|tenant_list|heartbeat_addr|path_prefix|kv_capacity|latency_goal_ms|zone_name|seed_nodes|contract_bounds|control_plane|@vanillamux\/platform/i;
for (const file of findFiles('packages', /\/(src|__tests__)\/.*\.ts$/)) {
  if (file.includes('/dist/')) continue;
  const match = PLATFORM_NAMES.exec(readFileSync(file, 'utf8'));
  if (match) violations.push(`${file}: ${match[0]} belongs in platform/`);
}
for (const file of findFiles('platform', /\/(src|__tests__)\/.*\.ts$/)) {
  if (file.includes('/dist/')) continue;
  if (!/^[a-z0-9_]+(\.test)?\.ts$/.test(basename(file))) {
    violations.push(`${file}: file name is not in snake_case`);
  }
  for (const [, specifier, , subpath] of readFileSync(file, 'utf8').matchAll(
    IMPORT_PATTERN,
  )) {
    if (subpath) {
      violations.push(`${file}: ${specifier} is not an index module`);
    }
  }
}

for (const violation of violations) process.stderr.write(`${violation}\n`);
process.exitCode = violations.length > 0 ? 1 : 0;
