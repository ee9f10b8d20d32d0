import {resolve} from 'node:path';
import type {OperatorSession} from '@vanillamux/cli';
import {
  succeed,
  waitForSignal,
  type Address,
  type Result,
} from '@vanillamux/shared';
import {cac} from 'cac';
import {ApiClient, type CallOutcome} from './api_client.js';
import {Fleet} from './fleet.js';
import {waitUntilServing} from './wait_until_serving.js';

const DECLARATIONS = 'examples/quickstart';
const API_KEY = 'tartu-demo-key';
const MODEL = 'parcel-7b';
const SHORT_PROMPT =
  'Summarise the field parcel 78403:001:0042 for the farmer.';
const LONG_PROMPT_TOKENS = 200_000;
const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_PORT = 7_100;
const EXCERPT_CHARACTERS = 48;
const RECORD_LIMIT = 10_000;
const MAX_PRINTED_ENTRIES = 12;

interface Flags {
  readonly once?: boolean;
  readonly data: string;
  readonly port: number;
}

const cli = cac('npm start --');
cli
  .command('', 'Run a complete system on this machine and send it requests')
  .option('--once', 'Stop after the demonstration')
  .option('--data <folder>', 'Data folder', {default: './vmux-data'})
  .option('--port <port>', 'First of about 20 ports', {default: DEFAULT_PORT})
  .action(run);
cli.help();
cli.parse();

async function run(flags: Flags): Promise<void> {
  const fleet = await Fleet.create({
    folder: resolve(flags.data),
    failureDomains: ['fd-a', 'fd-b', 'fd-c'],
    engineCount: 6,
    models: [MODEL],
    serviceCounts: {claims: 3},
    basePort: flags.port,
  });
  const shutdownSignal = waitForSignal();
  fleet.start();
  const session = fleet.openSession('quickstart');
  const version = await waitUntilServing(fleet, session, DECLARATIONS);
  let hasSucceeded = version.ok;
  if (version.ok) {
    printLine(
      `Declarations version ${version.value} is applied on every entry host.`,
    );
    hasSucceeded = await runDemonstration(fleet, session);
  } else {
    printLine(`Failed to start: ${version.error.message}`);
  }
  if (hasSucceeded && !flags.once) {
    printHints(fleet);
    await shutdownSignal;
  }
  session.close();
  await fleet.stop();
  process.exitCode = hasSucceeded ? 0 : 1;
}

async function runDemonstration(
  fleet: Fleet,
  session: OperatorSession,
): Promise<boolean> {
  const client = new ApiClient(fleet.entryHosts[0]!.address);
  const longPrompt = 'parcel '.repeat(
    (LONG_PROMPT_TOKENS * CHARACTERS_PER_TOKEN) / 'parcel '.length,
  );
  const shortOutcome = await chat(client, SHORT_PROMPT);
  printOutcome('short prompt', shortOutcome);
  const longOutcome = await chat(client, longPrompt);
  printOutcome('200,000-token prompt', longOutcome);
  const key = `claim-${Date.now()}`;
  const claim = JSON.stringify({farm: 'EE-1042', hectares: 31.5});
  const firstSubmission = await submitClaim(client, key, claim);
  printOutcome('claim submission', firstSubmission);
  const secondSubmission = await submitClaim(client, key, claim);
  printOutcome('claim submission, retried with the same key', secondSubmission);
  await client.close();
  const haveAllSucceeded = [
    shortOutcome,
    longOutcome,
    firstSubmission,
    secondSubmission,
  ].every(({status, errorCode}) => status === 200 && !errorCode);
  const isReplayed =
    secondSubmission.text === firstSubmission.text &&
    secondSubmission.headers['idempotent-replayed'] === 'true';
  const requestIds = [
    shortOutcome,
    longOutcome,
    firstSubmission,
    secondSubmission,
  ].map(({requestId}) => requestId);
  const recorded = await printRecord(fleet, session, requestIds);
  if (!recorded.ok)
    printLine(`The record is incomplete: ${recorded.error.message}`);
  if (!haveAllSucceeded) printLine('At least one request failed.');
  if (!isReplayed)
    printLine('The second submission did not return the stored response.');
  return haveAllSucceeded && isReplayed && recorded.ok;
}

function chat(client: ApiClient, prompt: string): Promise<CallOutcome> {
  return client.chat({apiKey: API_KEY, model: MODEL, prompt, maxTokens: 24});
}

function submitClaim(
  client: ApiClient,
  key: string,
  body: string,
): Promise<CallOutcome> {
  const headers = {
    authorization: `Bearer ${API_KEY}`,
    'idempotency-key': key,
  };
  return client.call('/services/claims/claims', 'POST', headers, body);
}

function printOutcome(label: string, outcome: CallOutcome): void {
  const {status, timeToFirstTokenMs, durationMs, backendId, text} = outcome;
  const timing =
    timeToFirstTokenMs === undefined
      ? `response after ${durationMs.toFixed(1)} ms`
      : `first token after ${timeToFirstTokenMs.toFixed(1)} ms`;
  const source = backendId
    ? `from ${backendId}`
    : 'from the idempotency register';
  const excerpt = text.slice(0, EXCERPT_CHARACTERS).trimEnd();
  printLine(`${label}: ${status}, ${timing}, ${source}: ${excerpt}…`);
}

/**
 * Waits until the record has a `completed` entry for each request, then prints
 * its latest entries and the result of verifying it.
 */
async function printRecord(
  fleet: Fleet,
  session: OperatorSession,
  requestIds: readonly string[],
): Promise<Result<void>> {
  const complete = await fleet.waitFor(
    'completion of the record',
    10_000,
    async () => {
      const {entries} = await session.collectRecord({limit: RECORD_LIMIT});
      return requestIds.every(id =>
        entries.some(
          ({requestId, kind}) => requestId === id && kind === 'completed',
        ),
      );
    },
  );
  if (!complete.ok) return complete;
  const {entries} = await session.collectRecord({limit: RECORD_LIMIT});
  const {corruptions: faults, chains} = await session.verifyRecord();
  printLine(`The record has ${entries.length} entries in ${chains} chains:`);
  for (const entry of entries.slice(-MAX_PRINTED_ENTRIES)) {
    const {at, kind, requestId = '', target = '', ran = ''} = entry;
    printLine(`  ${at} ${kind} ${requestId} ${target} ${ran}`);
  }
  for (const {chain, sequence, reason} of faults) {
    printLine(`  ${chain} entry ${sequence}: ${reason}`);
  }
  return succeed(undefined);
}

function printHints(fleet: Fleet): void {
  const entry = formatAddress(fleet.entryHosts[0]!.address);
  const vmux = `npx vmux --config ${fleet.operatorSettingsFile}`;
  printLine(`
Send requests:
  curl -s http://${entry}/v1/models
  curl -sN http://${entry}/v1/chat/completions -H 'Authorization: Bearer ${API_KEY}' \\
    -d '{"model":"${MODEL}","stream":true,"messages":[{"role":"user","content":"Hello"}]}'
  curl -s http://${entry}/services/claims/claims -H 'Authorization: Bearer ${API_KEY}' \\
    -H 'Idempotency-Key: my-claim-1' -d '{"farm":"EE-1"}'
  ${vmux} status
  ${vmux} requests
  ${vmux} timeline
Stop it with Ctrl-C.`);
}

function formatAddress({host, port}: Address): string {
  return `${host}:${port}`;
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}
