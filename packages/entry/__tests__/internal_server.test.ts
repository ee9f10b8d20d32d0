import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {BackendKind, BackendState} from '@vanillamux/protocol';
import {request} from 'undici';
import {createInternalServer} from '../src/create_internal_server.js';
import type {EntryHost} from '../src/entry_host.js';
import {withServer} from './support/with_server.js';

const ANNOUNCEMENT = {
  id: 'engine-1',
  kind: BackendKind.Model,
  incarnation: 1,
  sequence: 1,
  state: BackendState.Ready,
  failureDomain: 'fd-a',
  address: {host: '127.0.0.1', port: 1},
  leaseMs: 1_000,
  load: {queuedPrefillTokens: 0, runningStreams: 0, freeTokens: 0},
};

describe('an exception while an announcement is applied', () => {
  it('is answered with an error and does not end the process', async () => {
    const host = {
      mesh: {
        receiveAnnouncement: (): never => {
          throw new Error('broken');
        },
      },
    };
    const server = createInternalServer(host as unknown as EntryHost);
    await withServer(server, async url => {
      const {statusCode} = await request(`${url}/v1/announce`, {
        method: 'POST',
        body: JSON.stringify(ANNOUNCEMENT),
      });
      assert.equal(statusCode, 500);
    });
  });
});
