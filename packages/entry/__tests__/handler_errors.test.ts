import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Result} from '@vanillamux/shared';
import {request} from 'undici';
import type {TokenSink} from '../src/generation.js';
import {AUTHORIZATION, HandlerFixture} from './support/handler_fixture.js';

describe('an exception after a request was admitted', () => {
  const throwBroken = (): never => {
    throw new Error('broken');
  };
  for (const {name, path, body, isStream} of [
    {
      name: 'a chat completion',
      path: '/v1/chat/completions',
      body: {model: 'm', messages: [{role: 'user', content: 'x'}]},
    },
    {
      name: 'a stream that had begun',
      path: '/v1/chat/completions',
      body: {
        model: 'm',
        messages: [{role: 'user', content: 'x'}],
        stream: true,
      },
      isStream: true,
    },
    {name: 'a service call', path: '/services/claims/x', body: {}},
  ]) {
    it(`does not keep the place of ${name}`, async () => {
      const fixture = new HandlerFixture({
        run: async (_ctx, _job, _decision, sink: TokenSink) => {
          if (isStream) await sink.write('part');
          return throwBroken() as Result<void>;
        },
        send: () => Promise.resolve().then(throwBroken),
      });
      const url = await fixture.start();
      try {
        for (const attempt of ['first', 'second']) {
          const response = await request(url + path, {
            method: 'POST',
            headers: AUTHORIZATION,
            body: JSON.stringify(body),
          });
          assert.equal(response.statusCode, isStream ? 200 : 500, attempt);
          assert.match(await response.body.text(), /"code":"internal"/);
          assert.deepEqual(fixture.requests.listInFlight(), []);
        }
      } finally {
        fixture.close();
      }
    });
  }
});
