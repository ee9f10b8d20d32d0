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
    {name: 'the other engine is mute', engines: [SILENT, {isMute: true}]},
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

  it('is taken over by another engine when it never responds', async () => {
    const fixture = new GenerationFixture({engines: [{isMute: true}, {}]});
    const {result, text} = await fixture.run();
    await fixture.close();
    assert.ok(result.ok, result.ok ? '' : result.error.message);
    assert.equal(text, OUTPUT);
  });

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

describe('a gang with an engine that falls silent and goes on', () => {
  for (const {name, engines} of [
    {name: 'before its share is processed', engines: [SILENT, {}]},
    {name: 'while it generates the output', engines: [{}, SILENT]},
  ]) {
    it(`is not given up when the engine is silent ${name} and no other gang fits`, async () => {
      const fixture = new GenerationFixture({engines});
      const {result, text, report} = await fixture.runOnGang();
      await fixture.close();
      assert.ok(result.ok, result.ok ? '' : result.error.message);
      assert.equal(text, OUTPUT);
      assert.equal(report.attempts, 1);
    });
  }

  it('is replaced by another gang that fits', async () => {
    const fixture = new GenerationFixture({
      engines: [{silentConnections: Infinity}, {}, {}],
    });
    const {result, text, report} = await fixture.runOnGang();
    await fixture.close();
    assert.ok(result.ok, result.ok ? '' : result.error.message);
    assert.equal(text, OUTPUT);
    assert.equal(report.backend, 'engine-2+engine-3');
  });
});
