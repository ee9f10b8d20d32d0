import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {GenerationFixture} from './support/generation_fixture.js';

describe('the end of a generation', () => {
  it('is not that of another attempt, whose frame strays into the stream', async () => {
    const fixture = new GenerationFixture({engines: [{strayDoneIndex: 2}]});
    const {result, text} = await fixture.run();
    await fixture.close();
    assert.ok(result.ok, result.ok ? '' : result.error.message);
    assert.equal(text, 'w0 w1 w2 w3 ');
  });

  it('is the last token when the engine is lost before it reports the end', async () => {
    const fixture = new GenerationFixture({
      engines: [{isLostBeforeDone: true}],
    });
    const {result, text} = await fixture.run();
    await fixture.close();
    assert.ok(result.ok, result.ok ? '' : result.error.message);
    assert.equal(text, 'w0 w1 w2 w3 ');
  });
});
