// Builds the packages and compares the routing policies.
import {build} from './build.mjs';

build();
await import('../packages/load/dist/src/bench.js');
