import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {FakeEngineBehaviour} from './support/fake_engine_behaviour.js';
import {GenerationFixture} from './support/generation_fixture.js';

/** Falls silent after two tokens and delivers the rest on a later connection. */
const SILENT: FakeEngineBehaviour = {
  silentConnections: 4,
  tokensBeforeSilence: 2,
};
const OUTPUT = 'w0 w1 w2 w3 ';

describe('a generation on an engine that falls silent and goes on', () => {
  const CASES: ReadonlyArray<{
    name: string;
    engines: FakeEngineBehaviour[];
    hasRetry?: boolean;
  }> = [
    {name: 'there is no other engine', engines: [SILENT]},
    {name: 'no retry is left', engines: [SILENT, {}], hasRetry: false},
    {
      name: 'the other engine refuses',
      engines: [SILENT, {isRefusing: true}],
    },
    {
      name: 'no attempt is left',
      engines: [{isRefusing: true}, {isRefusing: true}, SILENT, {}],
    },
  ];
  for (const {name, engines, hasRetry} of CASES) {
    it(`is not given up when ${name}`, {timeout: 20_000}, async () => {
      const fixture = new GenerationFixture({engines, hasRetry});
      const {result, text} = await fixture.run();
      await fixture.close();
      assert.ok(result.ok, result.ok ? '' : result.error.message);
      assert.equal(text, OUTPUT);
    });
  }

  it('is cancelled only after another engine has accepted it', async () => {
    const fixture = new GenerationFixture({engines: [SILENT, {}]});
    const {result, text} = await fixture.run();
    await fixture.waitForCall('engine-1 /v1/cancel');
    await fixture.close();
    assert.ok(result.ok, result.ok ? '' : result.error.message);
    assert.equal(text, OUTPUT);
    const accepted = fixture.calls.indexOf('engine-2 /v1/generate');
    const cancelled = fixture.calls.indexOf('engine-1 /v1/cancel');
    assert.ok(accepted >= 0 && cancelled > accepted, fixture.calls.join(', '));
  });
});
