// Sends requests to entry hosts on kept connections, each one after the answer
// to the one before, until it is ended. Started by a case as its own process.
import http from 'node:http';
import process from 'node:process';
import {setInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

const {nodes, path, concurrency, intervalMs, prefix} = JSON.parse(
  process.argv[2],
);
const REPORT_INTERVAL_MS = 1_000;
const DEADLINE_MS = 2_500;
const BODY = 'claim';

let sent = 0;
let served = 0;
let refused = 0;
let failed = 0;

function send(agent, node) {
  return new Promise(resolve => {
    const [host, port] = node.split(':');
    const id = `${prefix}${(++sent).toString(16).padStart(12, '0')}`;
    const req = http.request(
      {
        agent,
        host,
        port,
        method: 'POST',
        path,
        timeout: DEADLINE_MS,
        headers: {
          Host: 'review.example',
          'Attempt-Id': id,
          'Deadline-Ms': String(DEADLINE_MS),
          'X-Api-Key': 'key-1',
          'Content-Length': BODY.length,
        },
      },
      res => {
        if (res.statusCode === 200) served++;
        else if ([429, 503].includes(res.statusCode)) refused++;
        else failed++;
        res.resume();
        res.on('error', () => resolve());
        res.on('end', () => resolve());
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => {
      failed++;
      resolve();
    });
    req.end(BODY);
  });
}

async function runClient(node) {
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  for (;;) {
    await send(agent, node);
    if (intervalMs > 0) await sleep(intervalMs);
  }
}

function report() {
  process.send({sent, served, refused, failed});
}

setInterval(report, REPORT_INTERVAL_MS);
process.on('disconnect', () => process.exit(0));
for (let index = 0; index < concurrency; index++)
  void runClient(nodes[index % nodes.length]);
