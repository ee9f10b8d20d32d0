// Installs missing or outdated dependencies and compiles every package.
import process from 'node:process';
import {spawnSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');

/** Runs a command in the repository's root; exits the process if it fails. */
export function runOrExit(command, args) {
  const {status} = spawnSync(command, args, {
    cwd: root,
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  if (status !== 0) process.exit(status ?? 1);
}

/** Installs outdated dependencies and compiles outdated packages. */
export function build() {
  const lockFile = join(root, 'package-lock.json');
  const installedLockFile = join(root, 'node_modules', '.package-lock.json');
  const isUpToDate =
    existsSync(installedLockFile) &&
    statSync(installedLockFile).mtimeMs >= statSync(lockFile).mtimeMs;
  if (!isUpToDate) runOrExit('npm', ['ci', '--no-audit', '--no-fund']);
  runOrExit(process.execPath, ['node_modules/typescript/bin/tsc', '-b']);
}

if (process.argv[1] === fileURLToPath(import.meta.url)) build();
