import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {describe, it} from 'node:test';
import {request} from 'undici';
import {createCallerServer} from '../src/create_caller_server.js';
import type {EntryHost} from '../src/entry_host.js';
import {withServer} from './support/with_server.js';

describe('an exception after a response has begun', () => {
  it('does not end the response as if it were complete', async () => {
    const host = {
      declarations: {current: {version: 1}},
      serviceHandler: {
        handle: (_req: unknown, res: ServerResponse): Promise<void> => {
          res.writeHead(200);
          res.write('part');
          return Promise.reject(new Error('broken'));
        },
      },
    };
    const server = createCallerServer(host as unknown as EntryHost);
    await withServer(server, async url => {
      const {body} = await request(`${url}/services/claims/x`);
      await assert.rejects(body.text());
    });
  });
});
