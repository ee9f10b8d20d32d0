// An entry host is killed while it forwards a stream whose worker gave no
// length. The requester must be able to tell that the stream is not complete.
import process from 'node:process';
import http from 'node:http';
import {
  createConfig,
  play,
  record,
  sleep,
  waitUntilServing,
  Worker,
} from '../harness.mjs';

/** Whether the disruption is played. */
const hasTrouble = process.env.TROUBLE !== '0';

const NOTES = {name: 'notes', kind: 'streaming'};
const CLAIMS = {name: 'claims', kind: 'non_idempotent'};
const TENANTS = [{name: 't1', api_keys: ['key-1'], priority_level: 1}];
const EVENTS = 32;
const EVENT_INTERVAL_MS = 50;
const KILL_AFTER_EVENTS = 10;
const STREAMS = 5;
const DEADLINE_MS = 10_000;

/** A worker whose streams have no length and end with their channel. */
class StreamWorker extends Worker {
  async answer(req, res, chunks) {
    if (req.method === 'GET') return super.answer(req, res, chunks);
    const id = req.headers['attempt-id'];
    record(`${this.id} runs ${id}`);
    res.removeHeader('Transfer-Encoding');
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200, {
      'Attempt-Id': id,
      'Worker-Signature': `${this.id}.${id}`,
      'Content-Type': 'text/event-stream',
      Connection: 'close',
    });
    for (let event = 1; event <= EVENTS && !res.destroyed; event++) {
      res.write(`id: ${event}\ndata: piece ${event} of ${EVENTS}\n\n`);
      await sleep(EVENT_INTERVAL_MS);
    }
    res.end();
  }
}

await play(import.meta.url, async deployment => {
  await deployment.start({controls: 3, gateways: 2});
  const [gateway] = deployment.gateways;
  await deployment.waitForControl();
  for (let index = 1; index <= 2; index++) {
    const id = `n${index}`;
    await new StreamWorker(deployment, {id, service: NOTES.name}).start();
  }
  await new Worker(deployment, {id: 'w1', service: CLAIMS.name}).start();
  const config = createConfig(1, [NOTES, CLAIMS], TENANTS);
  config.routes[0] = {
    ...config.routes[0],
    timeout_ms: DEADLINE_MS,
    latency_goal_ms: 300,
    target_gap_ms: 250,
  };
  await deployment.publish(config);
  await waitUntilServing([gateway], '/claims/submit');
  await sleep(3_500);

  let killed;
  const streams = Array.from({length: STREAMS}, (_, index) =>
    receive(gateway, `s${index}`, events => {
      if (events < KILL_AFTER_EVENTS || !hasTrouble) return;
      killed ??= gateway.kill();
    }),
  );
  const received = await Promise.all(streams);
  await killed;
  for (const {id, status, events, end} of received)
    record(`${id}: ${status}, ${events} of ${EVENTS} events, ${end}`);
  const begun = received.filter(({status}) => status === 200);
  if (begun.length === 0) throw new Error('no stream has begun');
  if (!hasTrouble && begun.some(({events}) => events < EVENTS))
    throw new Error('a stream was cut without a disruption');
  return !begun.some(({end, events}) => end === 'complete' && events < EVENTS);
});

/** Receives a stream, and tells how it ended in the terms of HTTP/1.1. */
function receive(gateway, id, onEvents) {
  const [host, port] = gateway.fields.bind.frontend.split(':');
  return new Promise(resolve => {
    let text = '';
    let status;
    const finish = end =>
      resolve({id, status, events: text.split('\n\n').length - 1, end});
    const req = http.request(
      {
        host,
        port,
        method: 'POST',
        path: '/notes/1',
        agent: false,
        headers: {
          Host: 'review.example',
          'Attempt-Id': id,
          'Deadline-Ms': String(DEADLINE_MS),
          'X-Api-Key': 'key-1',
        },
      },
      res => {
        status = res.statusCode;
        record(`${id}: ${status}, ${JSON.stringify(res.headers)}`);
        res.on('data', chunk => {
          text += chunk;
          onEvents(text.split('\n\n').length - 1);
        });
        res.on('error', error => finish(`broken off: ${error.message}`));
        res.on('end', () => finish(res.complete ? 'complete' : 'cut'));
      },
    );
    req.on('error', error => finish(`broken off: ${error.message}`));
    req.end('note');
  });
}
