// Builds what is needed and runs every test.
import process from 'node:process';
import {globSync} from './glob_sync.mjs';
import {build, run} from './build.mjs';

const CONCURRENCY = 4;

build();
const files = ['packages', 'platform'].flatMap(folder =>
  globSync(folder, /\/dist\/__tests__\/.*\.test\.js$/),
);
run(process.execPath, [
  '--test',
  `--test-concurrency=${CONCURRENCY}`,
  ...files,
]);
