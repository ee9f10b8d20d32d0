// Builds the packages and runs a complete system on this machine.
import {build} from './build.mjs';

build();
await import('../packages/fleet/dist/src/quickstart.js');
