import {PolicyName} from '@vanillamux/routing';
import {cac} from 'cac';
import {benchPolicies, type PolicyResult} from './bench_policies.js';
import type {LoadResult} from './load_result.js';

interface Flags {
  readonly policy?: PolicyName;
  readonly seconds: number;
  readonly seed: number;
  readonly utilization: number;
  readonly json?: boolean;
}

const cli = cac('npm run bench --');
cli
  .command('', 'Compare routing policies on the same arrivals')
  .option('--policy <name>', Object.values(PolicyName).join(', '))
  .option('--seconds <seconds>', 'Length of each run', {default: 20})
  .option('--seed <seed>', 'Seed of the arrivals', {default: 7})
  .option('--utilization <share>', 'Load against prefill capacity', {
    default: 0.7,
  })
  .option('--json', 'Print the whole results as JSON')
  .action(run);
cli.help();
cli.parse();

async function run(flags: Flags): Promise<void> {
  const results = await benchPolicies({
    policies: flags.policy ? [flags.policy] : Object.values(PolicyName),
    durationSeconds: flags.seconds,
    seed: flags.seed,
    utilization: flags.utilization,
  });
  if (flags.json) process.stdout.write(`${JSON.stringify(results)}\n`);
  else for (const result of results) printResult(result);
}

function printResult({policy, mixed, shortOnly}: PolicyResult): void {
  const slowdown = shortPromptP95(mixed) / shortPromptP95(shortOnly);
  process.stdout.write(
    `${policy}: short p95 ${shortPromptP95(mixed)} ms with long, ${shortPromptP95(shortOnly)} ms without, slowdown ${slowdown.toFixed(2)}\n`,
  );
  for (const {
    bucket,
    sent,
    completed,
    firstToken,
    stretchP95,
  } of mixed.buckets) {
    process.stdout.write(
      `  ${bucket}: ${completed}/${sent} completed, first token p50 ${firstToken.p50} p95 ${firstToken.p95} ms, ${stretchP95} x unloaded\n`,
    );
  }
  const errors = JSON.stringify(mixed.errors);
  process.stdout.write(
    `  goodput ${mixed.goodputTokensPerSecond} tokens/s, errors ${errors}, refusal p95 ${mixed.refusal.p95} ms\n`,
  );
}

function shortPromptP95({buckets}: LoadResult): number {
  return buckets[0]?.firstToken.p95 ?? 0;
}
