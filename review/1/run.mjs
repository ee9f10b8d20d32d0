// A control host is suspended for 4 s, so that the workers check in at another
// one. A minute later it says that they are gone.
import process from 'node:process';
import {
  BOUNDS,
  createConfig,
  play,
  record,
  request,
  sleep,
  waitUntilServing,
  Worker,
} from '../harness.mjs';

/** Whether the disruption is played. */
const hasTrouble = process.env.TROUBLE !== '0';

const SERVICE = {name: 'claims', kind: 'non_idempotent'};
const PATH = '/claims/submit';
const TENANTS = [{name: 't1', api_keys: ['key-1'], priority_level: 1}];
const FREEZE_MS = 4_000;
/** After the move of the workers to another control host. */
const FINAL_FAULT_AFTER_MS = 72_000;
const MEASURED_MS = 8_000;
const REQUEST_INTERVAL_MS = 250;

await play(import.meta.url, async deployment => {
  await deployment.start({controls: 3, gateways: 2});
  const {controls, gateways} = deployment;
  await deployment.waitForControl();
  for (let index = 1; index <= 3; index++) {
    const worker = new Worker(deployment, {
      id: `w${index}`,
      service: SERVICE.name,
    });
    await worker.start();
  }
  await deployment.publish(createConfig(1, [SERVICE], TENANTS));
  await waitUntilServing(gateways, PATH);
  await sleep(2_500);

  const movedMs = Date.now();
  if (hasTrouble) {
    const home = deployment.controlAt(deployment.workers[0].node);
    home.signal('SIGSTOP');
    await sleep(FREEZE_MS);
    home.signal('SIGCONT');
  }
  const before = await measure(
    gateways,
    movedMs + FINAL_FAULT_AFTER_MS - Date.now(),
  );
  record(`before the final fault: ${before.served} of ${before.sent} served`);

  // The final fault: one disk is lost right after a change was acknowledged.
  await deployment.publish(createConfig(2, [SERVICE], TENANTS));
  await controls.at(-1).loseDisk(1_000);

  await sleep(BOUNDS.recovery_s * 1_000);
  const after = await measure(gateways, MEASURED_MS);
  record(`after the recovery time: ${after.served} of ${after.sent} served`);
  const alive = deployment.workers.filter(({hasEnded}) => !hasEnded).length;
  record(`${alive} workers are up and check in`);
  const wasServing = before.served >= before.sent / 4;
  if (!wasServing) throw new Error('too little was served before');
  return after.served >= after.sent / 4;
});

async function measure(gateways, durationMs) {
  const endMs = Date.now() + durationMs;
  const pending = [];
  for (let index = 0; Date.now() < endMs; index++) {
    pending.push(request(gateways[index % gateways.length], PATH));
    await sleep(REQUEST_INTERVAL_MS);
  }
  const answers = await Promise.all(pending);
  const served = answers.filter(({isServed}) => isServed).length;
  return {sent: answers.length, served};
}
