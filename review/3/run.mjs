// An entry host is stopped by SIGTERM while requesters hold channels on which
// they have not sent a request yet. A request that it reads and passes on to a
// worker must be answered.
import process from 'node:process';
import net from 'node:net';
import {
  BOUNDS,
  createConfig,
  play,
  record,
  sleep,
  waitUntilServing,
  Worker,
} from '../harness.mjs';

/** Whether the disruption is played. */
const hasTrouble = process.env.TROUBLE !== '0';

const SERVICE = {name: 'claims', kind: 'non_idempotent'};
const PATH = '/claims/submit';
const TENANTS = [{name: 't1', api_keys: ['key-1'], priority_level: 1}];
/** Time between two requests, of each round. */
const INTERVALS_MS = [71, 61, 79, 67, 73];
const CHANNELS = 40;
/** From SIGTERM to the first request. */
const FIRST_REQUEST_MS = 1_500;

const DEADLINE_MS = 2_500;

await play(import.meta.url, async deployment => {
  await deployment.start({controls: 3, gateways: 1});
  const [gateway] = deployment.gateways;
  await deployment.waitForControl();
  const workers = [];
  for (let index = 1; index <= 3; index++) {
    const worker = new Worker(deployment, {
      id: `w${index}`,
      service: SERVICE.name,
    });
    await worker.start();
    workers.push(worker);
  }
  await deployment.publish(createConfig(1, [SERVICE], TENANTS));

  let lost = 0;
  for (const [round, intervalMs] of INTERVALS_MS.entries()) {
    await waitUntilServing([gateway], PATH);
    await sleep(BOUNDS.contact_ms);
    const channels = Array.from({length: CHANNELS}, () => openChannel(gateway));
    await sleep(200);
    if (hasTrouble) gateway.signal('SIGTERM');
    await sleep(FIRST_REQUEST_MS);
    const answers = channels.map(async (channel, index) => {
      await sleep(index * intervalMs);
      return sendClaim(channel, `r${round}-${index}`);
    });
    for (const {id, end} of await Promise.all(answers)) {
      const hasRun = workers.some(({runs}) => runs.some(run => run.id === id));
      record(`${id}: ${end}${hasRun ? ', was run' : ''}`);
      if (hasRun && !end.startsWith('answered')) lost++;
    }
    if (hasTrouble) {
      await gateway.ended;
      gateway.start(false);
    }
  }
  record(`${lost} claims were passed on and not answered`);
  return lost === 0;
});

function openChannel(gateway) {
  const [host, port] = gateway.fields.bind.frontend.split(':');
  const socket = net.connect(Number(port), host);
  socket.on('error', () => {});
  return socket;
}

function sendClaim(socket, id) {
  return new Promise(resolve => {
    let text = '';
    const finish = end => {
      socket.destroy();
      resolve({id, end});
    };
    if (socket.destroyed) return finish('channel closed before');
    socket.setTimeout(DEADLINE_MS, () => finish('no answer in time'));
    socket.on('data', chunk => {
      text += chunk;
      if (text.includes('\r\n\r\n')) finish(`answered ${text.slice(9, 12)}`);
    });
    socket.on('close', () => finish('channel closed without an answer'));
    socket.write(
      `POST ${PATH} HTTP/1.1\r\nHost: review.example\r\n` +
        `Attempt-Id: ${id}\r\nX-Api-Key: key-1\r\n` +
        `Deadline-Ms: ${DEADLINE_MS}\r\nContent-Length: 5\r\n\r\nclaim`,
    );
  });
}
