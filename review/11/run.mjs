// Two core machines lose their disks while two others are frozen: no more disks
// than the group has to bear. All come back.
import {readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
  configuration,
  hasTrouble,
  nowMs,
  runCase,
  send,
  sleep,
} from '../harness-3.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
/** Six core machines in three zones; two may be lost at once, or a zone. */
const CONTROLS = 6;
const FREEZE_MS = 6_000;
const DISK_LOSS_AFTER_MS = 4_600;
const RESTART_DELAY_MS = 1_000;
const RECOVERY_MS = 15_000;
/** Time beyond `recovery_s` in which the operator goes on asking. */
const PATIENCE_MS = 30_000;
/** Parts of the disruption, to tell which of them matters. */
const parts = (process.env.PARTS ?? 'freeze,disks').split(',');
const freezes = hasTrouble && parts.includes('freeze');
const losesDisks = hasTrouble && parts.includes('disks');

function countMembers(deployment, {name}) {
  const text = readFileSync(join(deployment.folder, `${name}.log`), 'utf8');
  return text
    .split('\n')
    .filter(line => line.includes('Changed the members'))
    .map(line => JSON.parse(line).reason);
}

async function read({api}) {
  const {status, body} = await send(`${api}/-/configuration/fetch`, {
    timeoutMs: 1_000,
  });
  return status === 200 ? JSON.parse(body).version : `status ${status}`;
}

await runCase(FOLDER, async deployment => {
  deployment.planControls(CONTROLS);
  for (const control of deployment.controls) deployment.startControl(control);
  for (let index = 0; index < 3; index++) deployment.startGateway(index);
  await deployment.publish(configuration(1));
  await deployment.waitUntilReady();
  await deployment.startWorker('claims-app', 'zone-a', {plan: {isQuiet: true}});
  await sleep(6_000);

  const inZone = zone =>
    deployment.controls.filter(control => control.zone === zone);
  const frozen = inZone('zone-c');
  const wiped = deployment.controls.slice(0, 2);
  const frozenMs = nowMs();
  if (freezes) {
    for (const {child} of frozen) child.kill('SIGSTOP');
    deployment.note(`${frozen.map(({name}) => name).join()} freeze`);
  }
  await sleep(DISK_LOSS_AFTER_MS - 200);
  await deployment.publish(configuration(2));
  await sleep(Math.max(0, frozenMs + DISK_LOSS_AFTER_MS - nowMs()));
  for (const control of deployment.controls)
    for (const reason of countMembers(deployment, control))
      deployment.note(`log of ${control.name}: members changed: ${reason}`);
  if (losesDisks) {
    for (const control of wiped) deployment.loseDisk(control);
    deployment.note(`${wiped.map(({name}) => name).join()} lose their disks`);
    await sleep(RESTART_DELAY_MS);
    for (const control of wiped) deployment.startControl(control);
    deployment.note('they are back with empty disks, bootstrap false');
  }
  await sleep(Math.max(0, frozenMs + FREEZE_MS - nowMs()));
  for (const {child} of frozen) child.kill('SIGCONT');
  deployment.note('all machines are back');

  await sleep(RECOVERY_MS);
  const endMs = nowMs() + PATIENCE_MS;
  let readVersions = [];
  while (nowMs() < endMs) {
    readVersions = await Promise.all(deployment.controls.map(read));
    if (readVersions.includes(2)) break;
    await sleep(1_000);
  }
  const names = deployment.controls.map(
    ({name}, index) => `${name} ${readVersions[index]}`,
  );
  deployment.note(`operator reads the configuration: ${names.join(', ')}`);
  const isReadBack = readVersions.includes(2);
  let isPublished = true;
  try {
    await deployment.publish(configuration(3), 10_000);
  } catch (error) {
    isPublished = false;
    deployment.note(error.message);
  }
  return !isReadBack && !isPublished;
});
