// The record of requests on the control hosts grows with each request and is
// kept in memory and on disk for good.
import {fork} from 'node:child_process';
import process from 'node:process';
import {clearInterval, setInterval} from 'node:timers';
import {URL, fileURLToPath} from 'node:url';
import {
  createConfig,
  hasTrouble,
  play,
  record,
  sleep,
  waitUntilServing,
  Worker,
} from '../harness.mjs';

const SERVICE = {name: 'claims', kind: 'idempotent'};
const PATH = '/claims/submit';
const TENANTS = [{name: 't1', api_keys: ['key-1'], priority_level: 1}];
const REQUESTS = hasTrouble ? 1_000_000 : 3_600;
const LOADERS = 2;
const CONCURRENCY = 32;
const RESTART_DELAY_MS = 500;
const DURATION_MS = Number(process.env.DURATION_MS ?? 100_000);

await play(import.meta.url, async deployment => {
  await deployment.start({
    gateways: 4,
    gatewayZones: ['zone-1', 'zone-2', 'zone-1', 'zone-2'],
    isQuiet: true,
  });
  const {controls, gateways} = deployment;
  await deployment.waitForControl();
  for (let index = 1; index <= 4; index++) {
    const worker = new Worker(deployment, {
      id: `w${index}`,
      service: SERVICE.name,
      capacity: 64,
    });
    worker.workMs = 1;
    worker.isQuiet = true;
    await worker.start();
  }
  await deployment.publish(createConfig(1, [SERVICE], TENANTS));
  await waitUntilServing(gateways, PATH);
  const endMs = Date.now() + DURATION_MS;
  for (const control of controls) void keepRunning(control, endMs);
  const counts = startLoad(gateways);
  const timer = setInterval(() => record(JSON.stringify(total(counts))), 1_000);
  while (Date.now() < endMs) await sleep(100);
  clearInterval(timer);
  for (const {ends, name} of controls) record(`${name} ends ${ends.join()}`);
  return controls.filter(({ends}) => ends.length >= 3).length < 2;
});

function startLoad(gateways) {
  const counts = [];
  for (let index = 0; index < LOADERS; index++) {
    const child = fork(fileURLToPath(new URL('../load.mjs', import.meta.url)), [
      JSON.stringify({
        nodes: gateways.map(({fields}) => fields.bind.frontend),
        path: PATH,
        count: REQUESTS / LOADERS,
        concurrency: CONCURRENCY,
        prefix: `${index}`,
      }),
    ]);
    child.on('message', message => (counts[index] = message));
  }
  return counts;
}

function total(counts) {
  const sum = {};
  for (const count of counts) {
    for (const [name, value] of Object.entries(count ?? {}))
      sum[name] = (sum[name] ?? 0) + value;
  }
  return sum;
}

/** Restarts a process that has ended, as the platform does. */
async function keepRunning(machine, endMs) {
  while (Date.now() < endMs) {
    await machine.ended;
    if (Date.now() >= endMs) return;
    await sleep(RESTART_DELAY_MS);
    machine.start(false);
  }
}
