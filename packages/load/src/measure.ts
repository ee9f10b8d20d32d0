import {cac} from 'cac';
import {measureControl} from './measure_control.js';
import {measureEntry} from './measure_entry.js';
import {measureState} from './measure_state.js';

const MEASUREMENTS: Readonly<Record<string, () => Promise<void> | void>> = {
  state: measureState,
  control: measureControl,
  entry: measureEntry,
};

const cli = cac('npm run measure --');
cli
  .command(
    '[part]',
    `Measure one part or all: ${Object.keys(MEASUREMENTS).join(', ')}`,
  )
  .action(async (part?: string) => {
    for (const [name, measure] of Object.entries(MEASUREMENTS)) {
      if (part === undefined || part === name) await measure();
    }
  });
cli.help();
cli.parse();
