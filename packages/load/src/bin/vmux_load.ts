import {writeFileSync} from 'node:fs';
import {loadSettings, VERSION, type Address} from '@vanillamux/shared';
import {cac} from 'cac';
import {loadSpecSchema} from '../load_spec_schema.js';
import {renderReport} from '../render_report.js';
import {runLoad} from '../run_load.js';
import {summarize} from '../summarize.js';

const EXIT_BAD_INPUT = 2;
const DEFAULT_PREFILL_RATE = 200_000;

interface Flags {
  readonly entry?: string;
  readonly report?: string;
  readonly prefillRate: number;
}

const cli = cac('vmux-load');
cli
  .command('<spec>', 'Run an experiment and print its result as JSON')
  .option('--entry <addresses>', 'Entry hosts, as HOST:PORT,HOST:PORT')
  .option('--report <file>', 'Write an HTML report with plots')
  .option('--prefill-rate <rate>', "An engine's prefill tokens a second", {
    default: DEFAULT_PREFILL_RATE,
  })
  .action(run);
cli.help();
cli.version(VERSION);
cli.parse();

async function run(file: string, flags: Flags): Promise<void> {
  const spec = await loadSettings(file, loadSpecSchema);
  if (!spec.ok) return refuse(spec.error.message);
  const entries = parseAddresses(flags.entry ?? '');
  if (entries.length === 0) return refuse('--entry: expected HOST:PORT');
  const samples = await runLoad(spec.value, entries);
  const {durationSeconds, warmUpSeconds} = spec.value;
  const result = summarize(samples, {
    durationSeconds,
    warmUpSeconds,
    prefillTokensPerSecond: flags.prefillRate,
  });
  process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`);
  if (flags.report) writeFileSync(flags.report, renderReport(file, result));
}

function parseAddresses(text: string): Address[] {
  return text
    .split(',')
    .map(item => /^(.+):(\d+)$/.exec(item.trim()))
    .flatMap(match =>
      match ? [{host: match[1]!, port: Number(match[2])}] : [],
    );
}

function refuse(message: string): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = EXIT_BAD_INPUT;
}
