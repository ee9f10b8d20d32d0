// Two core machines lose their disks while two others are cut off: no more disks
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
import {Relay} from '../relay-3.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
/** Six core machines in three zones; two may be lost at once, or a zone. */
const CONTROLS = 6;
const CUT_MS = 4_600;
/** The longest cut of two core machines in the site file. */
const MAX_CUT_MS = 4_800;
const DISK_LOSS_AFTER_MS = 4_300;
const RESTART_DELAY_MS = 1_000;
const RECOVERY_MS = 15_000;
/** Time beyond `recovery_s` in which the operator goes on asking. */
const PATIENCE_MS = 30_000;
/** Parts of the disruption, to tell which of them matters. */
const parts = (process.env.PARTS ?? 'cut,disks').split(',');
const cuts = hasTrouble && parts.includes('cut');
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
  for (const control of deployment.controls) {
    control.advertise = `${control.ip}:7340`;
    control.listen = `${control.ip}:7341`;
    control.relay = await Relay.start(control.ip, 7340, 7341);
    deployment.startControl(control);
  }
  for (let index = 0; index < 3; index++) deployment.startGateway(index);
  await deployment.publish(configuration(1));
  await deployment.waitUntilReady();
  await deployment.startWorker('claims-app', 'zone-a', {plan: {isQuiet: true}});
  await sleep(6_000);

  const inZone = zone =>
    deployment.controls.filter(control => control.zone === zone);
  const cut = inZone('zone-c');
  const wiped = deployment.controls.slice(0, 2);
  const isCutName = name => cut.some(control => control.name === name);
  const setCut = isCut => {
    for (const control of deployment.controls) {
      control.relay.isCut = source =>
        isCut &&
        source.startsWith('core-') &&
        isCutName(source) !== isCutName(control.name);
      control.relay.update();
    }
  };
  const cutMs = nowMs();
  if (cuts) {
    setCut(true);
    const names = cut.map(({name}) => name).join();
    deployment.note(`${names} are cut off from the other core machines`);
  }
  await sleep(DISK_LOSS_AFTER_MS - 200);
  await deployment.publish(configuration(2));
  await sleep(Math.max(0, cutMs + DISK_LOSS_AFTER_MS - nowMs()));
  for (const control of deployment.controls)
    for (const reason of countMembers(deployment, control))
      deployment.note(`log of ${control.name}: members changed: ${reason}`);
  if (losesDisks) {
    for (const control of wiped) deployment.loseDisk(control);
    deployment.note(`${wiped.map(({name}) => name).join()} lose their disks`);
  }
  await sleep(Math.max(0, cutMs + CUT_MS - nowMs()));
  setCut(false);
  const lengthMs = Math.round(nowMs() - cutMs);
  deployment.note(`no machine is cut off any more, after ${lengthMs} ms`);
  if (lengthMs > MAX_CUT_MS) throw new Error('the cut was too long');
  await sleep(
    Math.max(0, cutMs + DISK_LOSS_AFTER_MS + RESTART_DELAY_MS - nowMs()),
  );
  if (losesDisks) {
    for (const control of wiped) deployment.startControl(control);
    deployment.note('they are back with empty disks, bootstrap false');
  }
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
