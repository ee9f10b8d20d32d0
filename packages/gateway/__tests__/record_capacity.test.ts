import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {Recorder, RecordSink} from '@vanillamux/control';
import {
  ErrorCodes,
  fail,
  HybridClock,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import {RouteTable} from '../src/config/route_table.js';
import type {GatewayComponents} from '../src/request/gateway_components.js';
import {RequestHandler} from '../src/request/request_handler.js';
import {RequestRecorder} from '../src/request/request_recorder.js';
import {GatewayMetrics} from '../src/server/gateway_metrics.js';
import {createConfig, createRoute} from './create_config.js';

/** Control hosts that store no entries. */
class RejectingSink extends RecordSink {
  hosts(): readonly string[] {
    return ['a'];
  }

  async append(): Promise<Result<void>> {
    return fail(new VmuxError(ErrorCodes.NoQuorum));
  }
}

describe('a gateway whose record is full', () => {
  it('refuses requests as not run, and the record does not grow', async () => {
    const recorder = new Recorder({
      entryHostId: 'entry',
      failureDomain: 'fd-a',
      clock: new HybridClock(),
      sink: new RejectingSink(),
      maxEntries: 1,
    });
    const table = new RouteTable(
      createConfig({routes: [createRoute({host: '127.0.0.1'})]}),
    );
    const components = {
      dialect: {
        readRequest: () => ({requestId: 'r'}),
        writeResponse: () => ({}),
      },
      configStore: {waitForFirst: async () => table, version: 1},
      factSync: {isSynced: true},
      firstContact: {wait: () => Promise.resolve()},
      requestRecorder: new RequestRecorder(recorder),
      metrics: new GatewayMetrics(),
    } as unknown as GatewayComponents;
    const handler = new RequestHandler(components);
    const server = createServer((req, res) => void handler.handle(req, res));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const before = recorder.undelivered.length;
    for (const path of ['/a', '/b']) {
      const response = await fetch(`http://127.0.0.1:${port}${path}`);
      assert.equal(response.status, 503);
      assert.ok(Number(response.headers.get('retry-after')) > 0);
      assert.match(await response.text(), /record of requests is full/);
    }
    assert.equal(recorder.undelivered.length, before);
    server.close();
    server.closeAllConnections();
  });
});
