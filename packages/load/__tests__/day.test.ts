import assert from 'node:assert/strict';
import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';
import {PlacementPolicyName} from '@vanillamux/gateway';
import {loadSettings} from '@vanillamux/shared';
import {comparePlacements} from '../src/day/compare_placements.js';
import type {DaySpec} from '../src/day/day_spec.js';
import {daySpecSchema} from '../src/day/day_spec_schema.js';
import {simulateDay} from '../src/day/simulate_day.js';
import {summarizeDay} from '../src/day/summarize_day.js';

const SEEDS = [1, 2, 3];
/** Share of all credit that the placement is to earn on heavy days. */
const TARGET_SHARE = 0.9;
const SITES = ['poldtoetus', 'cobranzas'];

async function loadDay(site: string): Promise<DaySpec> {
  const path = `../../../../examples/${site}/days/heavy.yaml`;
  const file = fileURLToPath(new URL(path, import.meta.url));
  const spec = await loadSettings(file, daySpecSchema);
  assert.ok(spec.ok, spec.ok ? '' : spec.error.message);
  return spec.value;
}

describe('a virtual day', () => {
  it('repeats with the same seed and differs with another', async () => {
    const spec = {...(await loadDay('poldtoetus')), seconds: 6};
    const play = (seed: number) =>
      simulateDay({spec, seed, placement: PlacementPolicyName.EngineTime});
    assert.deepEqual(play(7), play(7));
    assert.notDeepEqual(play(7), play(8));
  });

  for (const site of SITES) {
    it(`on ${site} serves every kind better than the baselines`, async () => {
      const spec = await loadDay(site);
      const [roundRobin, leastOutstanding, engineTime] = comparePlacements({
        spec,
        seeds: SEEDS,
      });
      assert.equal(engineTime!.placement, PlacementPolicyName.EngineTime);
      for (const {placement, summary} of [roundRobin!, leastOutstanding!]) {
        assert.ok(
          engineTime!.summary.creditShare > summary.creditShare,
          placement,
        );
        for (const [
          at,
          classSummary,
        ] of engineTime!.summary.classes.entries()) {
          const baseline = summary.classes[at]!;
          assert.equal(classSummary.name, baseline.name);
          assert.ok(
            classSummary.creditShare > baseline.creditShare,
            `${classSummary.name}, ${placement}`,
          );
        }
      }
    });

    it(`on ${site} earns nine tenths of the credit of a heavy day`, async () => {
      const spec = await loadDay(site);
      const placements = [PlacementPolicyName.EngineTime];
      const seeds = [1, 2, 3, 4, 5, 6, 7, 8];
      const [engineTime] = comparePlacements({spec, seeds, placements});
      const {creditShare: creditShare} = engineTime!.summary;
      assert.ok(creditShare >= TARGET_SHARE, `share ${creditShare}`);
    });

    it(`on ${site} gains by what hosts tell each other`, async () => {
      const spec = await loadDay(site);
      const [withNotices, withoutNotices] = [true, false].map(sendsNotices => {
        const placement = PlacementPolicyName.EngineTime;
        return summarizeDay(
          SEEDS.flatMap(seed =>
            simulateDay({spec, seed, placement, sendsNotices: sendsNotices}),
          ),
        );
      });
      assert.ok(
        withNotices!.creditShare > withoutNotices!.creditShare,
        `${withNotices!.creditShare}, ${withoutNotices!.creditShare}`,
      );
    });
  }
});
