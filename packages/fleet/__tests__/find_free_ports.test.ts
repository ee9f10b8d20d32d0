import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createServer} from 'node:net';
import process from 'node:process';
import {describe, it} from 'node:test';
import {findFreePorts} from '../src/index.js';

/** First port that Linux gives to outgoing connections, unless set otherwise. */
const FIRST_OUTGOING_PORT = 32_768;
const PROCESSES = 6;
const PORTS_EACH = 150;
/** Prints ports, and runs until its input ends. */
const SCRIPT = `
  const {findFreePorts} = await import(${JSON.stringify(new URL('../src/index.js', import.meta.url).href)});
  console.log(JSON.stringify(await findFreePorts(${PORTS_EACH})));
  process.stdin.resume();
`;

describe('findFreePorts', () => {
  it('returns no port twice, though nothing listens there yet', async () => {
    const ports: number[] = [];
    for (let call = 0; call < 300; call++)
      ports.push(...(await findFreePorts(3)));
    assert.equal(new Set(ports).size, ports.length);
  });

  it('returns no port to two processes that run at the same time', async () => {
    const children = Array.from({length: PROCESSES}, () =>
      spawn(process.execPath, ['--input-type=module', '-e', SCRIPT], {
        stdio: ['pipe', 'pipe', 'inherit'],
      }),
    );
    const outputs = await Promise.all(
      children.map(({stdout}) => once(stdout, 'data')),
    );
    const ports = outputs.flatMap(
      ([text]) => JSON.parse(String(text)) as number[],
    );
    for (const {stdin} of children) stdin.end();
    assert.equal(ports.length, PROCESSES * PORTS_EACH);
    assert.equal(new Set(ports).size, ports.length);
  });

  for (const count of [1, 3, 40]) {
    it(`finds ${count} ports that no outgoing connection takes`, async () => {
      const ports = await findFreePorts(count);
      assert.equal(new Set(ports).size, count);
      assert.ok(ports.every(port => port < FIRST_OUTGOING_PORT));
      for (const port of ports) {
        const server = createServer();
        await new Promise<void>((resolve, reject) => {
          server.once('error', reject);
          server.listen(port, '127.0.0.1', resolve);
        });
        server.close();
      }
    });
  }
});
