import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
  createConfig,
  HAS_TROUBLE,
  JSA_BOUNDS,
  Operator,
  Record,
  request,
  sleep,
  System,
  Worker,
} from '../harness-2.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const ZONE = 'durgapur';

const record = new Record(join(FOLDER, 'record.txt'));
const system = await System.create({
  record,
  zones: ['kolkata', 'durgapur', 'siliguri'],
  bounds: JSA_BOUNDS,
});
const workers = [];
let code = 2;
try {
  code = await play();
} catch (error) {
  record.add(`could not run: ${error.stack}`);
} finally {
  for (const worker of workers) worker.stop();
  await system.stop();
}
record.add(`exit code ${code}`);
process.exit(code);

async function play() {
  system.startControls();
  const operator = new Operator(system);
  if (!(await operator.replace(createConfig(1)))) return 2;
  system.startEdges();
  for (const zone of system.zones) {
    const worker = new Worker(system, {id: `i-${zone}`, service: 'app', zone});
    workers.push(worker);
    await worker.start();
  }
  await system.waitUntilReady();
  await sleep(1_500);
  const begin = `/-/evacuation/${ZONE}/begin`;
  const finish = `/-/evacuation/${ZONE}/finish`;
  if (!(await operator.order(begin))) return 2;
  await sleep(500);
  const [, , frozen] = system.controls;
  if (HAS_TROUBLE) frozen.signal('SIGSTOP');
  // The first node that the operator picks stands still.
  if (!(await operator.order(finish, {first: 2}))) return 2;
  await sleep(500);
  if (!(await operator.order(begin))) return 2;
  const acknowledgedMs = Date.now();
  await sleep(2_500);
  if (HAS_TROUBLE) frozen.signal('SIGCONT');
  const thawedMs = Date.now();
  // From here on the machines are in touch, and the bound has passed.
  const judgedFromMs = Math.max(
    acknowledgedMs + JSA_BOUNDS.evacuation_ms,
    thawedMs + 2 * JSA_BOUNDS.contact_ms,
  );
  await sleep(judgedFromMs + 500 - Date.now());
  record.add('judged from here on');
  const sent = new Set();
  for (let round = 0; round < 20; round++) {
    for (const edge of system.edges) {
      const {id} = await request(system, edge, '/read/item');
      sent.add(id);
    }
    await sleep(50);
  }
  const [emptied] = workers.filter(({zone}) => zone === ZONE);
  const wrong = emptied.runs.filter(({id}) => sent.has(id));
  const all = workers.flatMap(({runs}) => runs.filter(({id}) => sent.has(id)));
  record.add(
    `${wrong.length} of ${all.length} requests were run in ${ZONE}, whose evacuation is acknowledged and was not taken back`,
  );
  if (all.length < 20) return 2;
  return wrong.length > 0 ? 1 : 0;
}
