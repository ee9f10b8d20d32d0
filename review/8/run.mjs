import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
  createConfig,
  HAS_TROUBLE,
  Operator,
  PT_BOUNDS,
  Record,
  request,
  sleep,
  System,
  Worker,
} from '../harness-2.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const NEVER_HELD = 'key-that-no-version-held';

const record = new Record(join(FOLDER, 'record.txt'));
const system = await System.create({
  record,
  zones: ['tartu-a', 'viljandi-b', 'voru-c'],
  bounds: PT_BOUNDS,
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
  // Version 1 holds the key; an unknown key gets 401 there.
  if (!(await operator.replace(createConfig(1)))) return 2;
  system.startEdges();
  for (const zone of system.zones) {
    const worker = new Worker(system, {id: `i-${zone}`, service: 'app', zone});
    workers.push(worker);
    await worker.start();
  }
  await system.waitUntilReady();
  await sleep(1_500);
  for (const edge of system.edges) {
    const known = await request(system, edge, '/submit/claim');
    const unknown = await request(system, edge, '/submit/claim', {
      key: NEVER_HELD,
    });
    if (known.status !== 200 || unknown.status !== 401) return 2;
  }
  // The key is taken away: from its tenant, or with the tenant, the last one.
  const withoutKeys = HAS_TROUBLE
    ? []
    : [{name: 'tenant-a', api_keys: [], priority_level: 1}];
  record.add(
    `operator: version 2 has tenant_list ${JSON.stringify(withoutKeys)}`,
  );
  const config = createConfig(2, {tenant_list: withoutKeys});
  if (!(await operator.replace(config))) return 2;
  await sleep(PT_BOUNDS.apply_ms + 1_500);
  record.add('judged from here on');
  const sent = new Map();
  for (let round = 0; round < 5; round++) {
    for (const edge of system.edges) {
      for (const key of ['key-a', NEVER_HELD]) {
        const {id, status} = await request(system, edge, '/submit/claim', {
          key,
        });
        sent.set(id, {key, status});
      }
    }
  }
  const runs = workers
    .flatMap(worker => worker.runs)
    .filter(({id}) => sent.has(id));
  const count = key => runs.filter(({id}) => sent.get(id).key === key).length;
  record.add(
    `of ${sent.size} requests, workers ran ${count('key-a')} with the key that was taken away and ${count(NEVER_HELD)} with a key that no version held`,
  );
  return runs.length > 0 ? 1 : 0;
}
