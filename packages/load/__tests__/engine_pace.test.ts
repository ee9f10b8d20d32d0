import assert from 'node:assert/strict';
import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';
import {PlacementPolicyName} from '@vanillamux/gateway';
import {loadSettings} from '@vanillamux/shared';
import {daySpecSchema} from '../src/day/day_spec_schema.js';
import {simulateDay} from '../src/day/simulate_day.js';
import {summarizeDay} from '../src/day/summarize_day.js';

const SEEDS = [1, 2, 3];
const DAY = fileURLToPath(
  new URL(
    '../../../../examples/lonsvakt/days/slow-engines.yaml',
    import.meta.url,
  ),
);

describe('a day on which engines turn slow', () => {
  it('serves every class of clients better if hosts learn it', async () => {
    const loaded = await loadSettings(DAY, daySpecSchema);
    assert.ok(loaded.ok, loaded.ok ? '' : loaded.error.message);
    const spec = loaded.value;
    const placement = PlacementPolicyName.EngineTime;
    const [learned, declared] = [true, false].map(observesPace =>
      summarizeDay(
        SEEDS.flatMap(seed =>
          simulateDay({spec, seed, placement, observesPace}),
        ),
      ),
    );
    for (const [at, {name, creditShare}] of declared!.classes.entries()) {
      const {creditShare: learnedShare} = learned!.classes[at]!;
      assert.ok(
        learnedShare > creditShare,
        `${name}: ${learnedShare}, ${creditShare}`,
      );
    }
  });
});
