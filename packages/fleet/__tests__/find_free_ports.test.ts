import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import {describe, it} from 'node:test';
import {findFreePorts} from '../src/index.js';

/** First port that Linux gives to outgoing connections, unless set otherwise. */
const FIRST_OUTGOING_PORT = 32_768;

describe('findFreePorts', () => {
  it('returns no port twice, though nothing listens there yet', async () => {
    const ports: number[] = [];
    for (let call = 0; call < 300; call++)
      ports.push(...(await findFreePorts(3)));
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
