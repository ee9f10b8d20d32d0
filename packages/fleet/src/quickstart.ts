import {resolve} from 'node:path';
import type {OperatorSession} from '@vanillamux/cli';
import {
  succeed,
  waitForSignal,
  type Address,
  type Result,
} from '@vanillamux/shared';
import {cac} from 'cac';
import {Caller, type CallOutcome} from './caller.js';
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
const HEAD_CHARACTERS = 48;
const RECORD_LIMIT = 10_000;
const MAX_PRINTED_ENTRIES = 12;

interface Flags {
  readonly once?: boolean;
  readonly data: string;
  readonly port: number;
}

const cli = cac('npm start --');
cli
  .command('', 'Run a whole system on this machine and use it')
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
    engines: 6,
    models: [MODEL],
    services: {claims: 3},
    basePort: flags.port,
  });
  const signalled = waitForSignal();
  fleet.start();
  const session = fleet.openSession('quickstart');
  const version = await waitUntilServing(fleet, session, DECLARATIONS);
  let ok = version.ok;
  if (version.ok) {
    print(`Declarations version ${version.value} is in force everywhere.`);
    ok = await demonstrate(fleet, session);
  } else {
    print(`Could not start: ${version.error.message}`);
  }
  if (ok && !flags.once) {
    printHints(fleet);
    await signalled;
  }
  session.close();
  await fleet.stop();
  process.exitCode = ok ? 0 : 1;
}

async function demonstrate(
  fleet: Fleet,
  session: OperatorSession,
): Promise<boolean> {
  const caller = new Caller(fleet.entries[0]!.address);
  const long = 'parcel '.repeat(
    (LONG_PROMPT_TOKENS * CHARACTERS_PER_TOKEN) / 'parcel '.length,
  );
  const short = await chat(caller, SHORT_PROMPT);
  show('short prompt', short);
  const audit = await chat(caller, long);
  show('200,000-token prompt', audit);
  const key = `claim-${Date.now()}`;
  const claim = JSON.stringify({farm: 'EE-1042', hectares: 31.5});
  const first = await submit(caller, key, claim);
  show('claim submission', first);
  const second = await submit(caller, key, claim);
  show('same key again', second);
  await caller.close();
  const answered = [short, audit, first, second].every(
    ({status, errorCode}) => status === 200 && !errorCode,
  );
  const onlyOnce =
    second.text === first.text &&
    second.headers['idempotent-replayed'] === 'true';
  const ids = [short, audit, first, second].map(({requestId}) => requestId);
  const recorded = await showRecord(fleet, session, ids);
  if (!recorded.ok)
    print(`The record is not complete: ${recorded.error.message}`);
  if (!answered) print('Not every request was answered.');
  if (!onlyOnce) print('The second submission was not the stored answer.');
  return answered && onlyOnce && recorded.ok;
}

function chat(caller: Caller, prompt: string): Promise<CallOutcome> {
  return caller.chat({apiKey: API_KEY, model: MODEL, prompt, maxTokens: 24});
}

function submit(
  caller: Caller,
  key: string,
  body: string,
): Promise<CallOutcome> {
  const headers = {
    authorization: `Bearer ${API_KEY}`,
    'idempotency-key': key,
  };
  return caller.call('/services/claims/claims', 'POST', headers, body);
}

function show(what: string, outcome: CallOutcome): void {
  const {status, firstTokenMs, durationMs, backend, text} = outcome;
  const time =
    firstTokenMs === undefined
      ? `answer after ${durationMs.toFixed(1)} ms`
      : `first token after ${firstTokenMs.toFixed(1)} ms`;
  const from = backend ? `from ${backend}` : 'from the register';
  const head = text.slice(0, HEAD_CHARACTERS).trimEnd();
  print(`${what}: ${status}, ${time}, ${from}: ${head}…`);
}

/** Waits until the record holds the end of each request, then prints it. */
async function showRecord(
  fleet: Fleet,
  session: OperatorSession,
  ids: readonly string[],
): Promise<Result<void>> {
  const complete = await fleet.waitFor('the record', 10_000, async () => {
    const {entries} = await session.collectRecord({limit: RECORD_LIMIT});
    return ids.every(id =>
      entries.some(
        ({requestId, kind}) => requestId === id && kind === 'completed',
      ),
    );
  });
  if (!complete.ok) return complete;
  const {entries} = await session.collectRecord({limit: RECORD_LIMIT});
  const {corruptions: faults, chains} = await session.verifyRecord();
  print(`The record has ${entries.length} entries in ${chains} chains:`);
  for (const entry of entries.slice(-MAX_PRINTED_ENTRIES)) {
    const {at, kind, requestId = '', target = '', ran = ''} = entry;
    print(`  ${at} ${kind} ${requestId} ${target} ${ran}`);
  }
  for (const {chain, sequence, reason} of faults) {
    print(`  ${chain} entry ${sequence}: ${reason}`);
  }
  return succeed(undefined);
}

function printHints(fleet: Fleet): void {
  const entry = format(fleet.entries[0]!.address);
  const vmux = `npx vmux --config ${fleet.operatorFile}`;
  print(`
Talk to it:
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

function format({host, port}: Address): string {
  return `${host}:${port}`;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
