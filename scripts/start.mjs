// Builds what is needed and runs a whole system on this machine.
import {build} from './build.mjs';

build();
await import('../packages/fleet/dist/src/quickstart.js');
