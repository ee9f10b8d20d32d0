// A control host comes back after a cut of the core and acknowledges that a
// worker drains, of which no entry host hears.
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
const CONTROLS = 6;
/** Bounds of the sheet with six core machines, in milliseconds. */
const CONTACT_MS = 4_000;
const DRAIN_MS = 2_500;
const MAX_CUT_MS = 5_500;
const LOOK_MS = 3_000;
const ROUNDS = Number(process.env.ROUNDS ?? 2);
const CLAIMS = 24;

const untilMs = async atMs => {
  if (atMs > nowMs()) await sleep(atMs - nowMs());
};

async function isLeader({ip}) {
  const {body} = await send(`http://${ip}:9464/metrics`);
  return /^vmux_control_is_leader 1$/m.test(body);
}

function readLog(deployment, {name}) {
  const text = readFileSync(join(deployment.folder, `${name}.log`), 'utf8');
  return text
    .split('\n')
    .filter(line => line.startsWith('{'))
    .map(line => JSON.parse(line));
}

/** Sends claims at once to all entry hosts. */
function sendClaims(deployment) {
  return Promise.all(
    Array.from({length: CLAIMS}, (_, index) =>
      deployment.request(deployment.gateways[index % 3], '/claim/1', {
        method: 'POST',
        body: 'claim',
        deadlineMs: 2_500,
      }),
    ),
  );
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
  await deployment.startWorker('claims-app', 'zone-a', {
    plan: {workMs: 43, isQuiet: true},
  });
  await sleep(4_000);

  let version = 1;
  const others = deployment.controls.slice(3);
  for (let round = 1; round <= ROUNDS; round++) {
    const followers = [];
    for (const control of others)
      if (!(await isLeader(control))) followers.push(control);
    const cut = followers[round % followers.length];
    const rest = deployment.controls.filter(control => control !== cut);
    deployment.note(`round ${round}: ${cut.name} follows a leader`);
    const worker = await deployment.startWorker('claims-app', 'zone-b', {
      plan: {workMs: 43},
      controls: [cut, ...rest],
    });
    await sleep(3_000);
    const before = await sendClaims(deployment);
    deployment.note(
      `claims: ${before.filter(({status}) => status === 200).length} of ${CLAIMS} served, ${worker.runs.length / 2} by ${worker.id}`,
    );

    const setCut = isCut => {
      cut.relay.isCut = source => isCut && source.startsWith('core-');
      for (const {relay} of rest)
        relay.isCut = source => isCut && source === cut.name;
      for (const {relay} of deployment.controls) relay.update();
    };
    // The host looks for its leader every 3 s since it has joined.
    const joined = readLog(deployment, cut).find(({message}) =>
      message.startsWith('Asked the leader'),
    );
    const joinedMs = Date.parse(joined.time) - Date.now() + nowMs() + 200;
    const elapsedMs = (nowMs() + 3_350 - joinedMs) % LOOK_MS;
    await sleep(LOOK_MS - elapsedMs);
    const cutMs = nowMs();
    if (hasTrouble) {
      setCut(true);
      deployment.note(`${cut.name} is cut off from the other core machines`);
    }
    // The cut ends after the host has asked in vain to be added again.
    const asked = () =>
      readLog(deployment, cut).filter(({message}) =>
        message.startsWith('No leader is known'),
      ).length;
    const askedBefore = asked();
    await untilMs(cutMs + 2_900);
    await deployment.publish(configuration(++version));
    while (nowMs() < cutMs + MAX_CUT_MS - 1_150 && asked() === askedBefore)
      await sleep(20);
    await sleep(1_150);
    setCut(false);
    const healMs = nowMs();
    deployment.note(
      `the cut has healed after ${Math.round(healMs - cutMs)} ms`,
    );
    await untilMs(healMs + 2_400);
    await deployment.publish(configuration(++version));

    await untilMs(healMs + CONTACT_MS + 50);
    worker.child.send({kind: 'drain'});
    const acked = () => worker.acks.find(({phase}) => phase === 'draining');
    while (!acked()) await sleep(5);
    const {by, atMs} = acked();
    await untilMs(atMs + DRAIN_MS + 100);
    worker.runs.length = 0;
    const sentMs = nowMs();
    const replies = await sendClaims(deployment);
    const late = worker.runs.filter(({text}) => text.startsWith('runs'));
    deployment.note(
      `claims sent ${Math.round(sentMs - atMs)} ms after ${by} acknowledged: ${replies.filter(({status}) => status === 200).length} of ${CLAIMS} served, ${late.length} reached ${worker.id}, which drains`,
    );
    for (const gateway of deployment.gateways)
      for (const {message, time, peer, backend, state} of readLog(
        deployment,
        gateway,
      ))
        if (peer?.startsWith(cut.ip) || backend === worker.id)
          deployment.note(
            `log of ${gateway.name}: ${time} ${message} ${backend ?? ''} ${state ?? ''}`,
          );
    for (const {message, time} of readLog(deployment, cut).slice(-6))
      deployment.note(`log of ${cut.name}: ${time} ${message}`);
    if (late.length > 0) return true;
    worker.child.kill('SIGKILL');
    await sleep(2_000);
  }
  return false;
});
