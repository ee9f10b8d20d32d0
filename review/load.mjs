// Sends requests to entry hosts as fast as they are answered, on kept
// connections, and reports the answers. Started by a case as a process of its own.
import http from 'node:http';
import process from 'node:process';
import {clearInterval, setInterval} from 'node:timers';

const {nodes, path, count, concurrency, prefix} = JSON.parse(process.argv[2]);
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
  while (sent < count) await send(agent, node);
  agent.destroy();
}

function report() {
  process.send({sent, served, refused, failed});
}

const timer = setInterval(report, REPORT_INTERVAL_MS);
process.on('disconnect', () => process.exit(0));
await Promise.all(
  Array.from({length: concurrency}, (_, index) =>
    runClient(nodes[index % nodes.length]),
  ),
);
clearInterval(timer);
report();
process.disconnect();
