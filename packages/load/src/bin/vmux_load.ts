import {writeFileSync} from 'node:fs';
import {AdmissionPolicyName, PlacementPolicyName} from '@vanillamux/gateway';
import {loadSettings, VERSION, type Address} from '@vanillamux/shared';
import {cac} from 'cac';
import {z} from 'zod';
import {comparePlacements} from '../day/compare_placements.js';
import {daySpecSchema} from '../day/day_spec_schema.js';
import {renderComparison} from '../day/render_comparison.js';
import {loadSpecSchema} from '../load_spec_schema.js';
import {renderReport} from '../render_report.js';
import {runLoad} from '../run_load.js';
import {summarize} from '../summarize.js';

const EXIT_INVALID_INPUT = 2;
const DEFAULT_PREFILL_RATE = 200_000;

interface Flags {
  readonly entry?: string;
  readonly report?: string;
  readonly prefillRate: number;
}

interface PlayFlags {
  readonly days: number;
  readonly seed: number;
  readonly placement?: string;
  readonly admission: AdmissionPolicyName;
  readonly load?: string;
}

const playFlagsSchema = z.object({
  days: z.number().int().min(1),
  seed: z.number().int(),
  admission: z.nativeEnum(AdmissionPolicyName),
});

const cli = cac('vmux-load');
cli
  .command('<spec>', 'Run an experiment and print its result as JSON')
  .option('--entry <addresses>', 'Entry hosts, as HOST:PORT,HOST:PORT')
  .option('--report <file>', 'Write an HTML report with plots')
  .option('--prefill-rate <rate>', 'Prefill tokens per second of one engine', {
    default: DEFAULT_PREFILL_RATE,
  })
  .action(runExperiment);
cli
  .command('play <day>', 'Simulate a day of load with each placement policy')
  .option('--days <count>', 'Number of days, each with its own arrivals', {
    default: 3,
  })
  .option('--seed <seed>', 'Seed of the first day', {default: 1})
  .option('--placement <name>', Object.values(PlacementPolicyName).join(', '))
  .option('--admission <name>', Object.values(AdmissionPolicyName).join(', '), {
    default: AdmissionPolicyName.Backlog,
  })
  .option('--load <name>', 'One of the loads that the day names')
  .action(runSimulation);
cli.help();
cli.version(VERSION);
cli.parse();

async function runExperiment(file: string, flags: Flags): Promise<void> {
  const spec = await loadSettings(file, loadSpecSchema);
  if (!spec.ok) return reportInputError(spec.error.message);
  const entries = parseAddresses(flags.entry ?? '');
  if (entries.length === 0)
    return reportInputError('--entry: expected HOST:PORT');
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

async function runSimulation(file: string, flags: PlayFlags): Promise<void> {
  const checked = playFlagsSchema.safeParse(flags);
  if (!checked.success) {
    const [{path, message}] = checked.error.issues as [z.ZodIssue];
    return reportInputError(`--${path.join('.')}: ${message}`);
  }
  const spec = await loadSettings(file, daySpecSchema);
  if (!spec.ok) return reportInputError(spec.error.message);
  const known = Object.values(PlacementPolicyName);
  const placements = flags.placement
    ? known.filter(name => name === flags.placement)
    : known;
  if (placements.length === 0) {
    return reportInputError(`--placement: expected one of ${known.join(', ')}`);
  }
  const load = spec.value.loads.find(({name}) => name === flags.load);
  if (flags.load && !load) {
    const names = spec.value.loads.map(({name}) => name).join(', ');
    return reportInputError(`--load: expected one of ${names}`);
  }
  const seeds = Array.from(
    {length: flags.days},
    (_, index) => flags.seed + index,
  );
  const {admission} = checked.data;
  const results = comparePlacements({
    spec: {...spec.value, ...load},
    seeds,
    placements,
    admission,
  });
  process.stdout.write(renderComparison(results));
}

function parseAddresses(text: string): Address[] {
  return text
    .split(',')
    .map(item => /^(.+):(\d+)$/.exec(item.trim()))
    .flatMap(match =>
      match ? [{host: match[1]!, port: Number(match[2])}] : [],
    );
}

function reportInputError(message: string): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = EXIT_INVALID_INPUT;
}
