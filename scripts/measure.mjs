// Builds the packages and prints the figures of docs/MEASUREMENTS.md.
import process from 'node:process';
import {build, runOrExit} from './build.mjs';

build();
runOrExit(process.execPath, [
  '--expose-gc',
  'packages/load/dist/src/measure.js',
  ...process.argv.slice(2),
]);
