// A control host is replaced by an empty one at another address, in the planned
// way: the new one first. Right after that, another control host loses its disk.
import process from 'node:process';
import {
  BOUNDS,
  call,
  createConfig,
  describe,
  play,
  record,
  sleep,
} from '../harness.mjs';

/** Whether the disruption is played. */
const hasTrouble = process.env.TROUBLE !== '0';

const SERVICE = {name: 'claims', kind: 'non_idempotent'};
const TENANTS = [{name: 't1', api_keys: ['key-1'], priority_level: 1}];
const NEWEST = 2;
const CATCH_UP_MS = BOUNDS.catch_up_s * 1_000;
/** From the SIGTERM of the host that is replaced to the next change. */
const CHANGE_AFTER_MS = 1_300;
const DOWN_MS = 1_000;
/** The operator reads the configuration for at least `contact_ms`. */
const READ_MS = BOUNDS.contact_ms + 2_000;

await play(import.meta.url, async deployment => {
  await deployment.start({controls: 3, gateways: 1, spares: 1});
  const [replaced, kept, wiped] = deployment.controls;
  const [successor] = deployment.spares;
  await deployment.waitForControl();
  await deployment.publish(createConfig(1, [SERVICE], TENANTS));
  await sleep(BOUNDS.contact_ms + CATCH_UP_MS);

  successor.start(false);
  // Once it has had this time, the host that it replaces stops counting.
  await sleep(CATCH_UP_MS + 1_000);
  replaced.signal('SIGTERM');
  await replaced.ended;
  deployment.controls = [kept, wiped, successor];
  await sleep(CHANGE_AFTER_MS);
  await deployment.publish(createConfig(NEWEST, [SERVICE], TENANTS));
  if (hasTrouble) await wiped.loseDisk(DOWN_MS);

  await sleep(BOUNDS.recovery_s * 1_000);
  const version = await readConfiguration(deployment.controlNodes);
  record(`the operator reads back version ${version ?? 'none'}`);
  return version === NEWEST;
});

/** Reads the configuration at every node. Returns the newest version read. */
async function readConfiguration(nodes) {
  let newest;
  const endMs = Date.now() + READ_MS;
  for (let index = 0; Date.now() < endMs; index++) {
    const node = nodes[index % nodes.length];
    const answer = await call({
      node,
      method: 'GET',
      path: '/-/configuration/fetch',
      timeoutMs: 2_000,
    });
    record(`read at ${node}: ${describe(answer)}`);
    if (answer.status === 200) {
      const {version} = JSON.parse(answer.body);
      newest = Math.max(newest ?? version, version);
    }
    await sleep(200);
  }
  return newest;
}
