import assert from 'node:assert/strict';
import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';
import {PlacementPolicyName} from '@vanillamux/gateway';
import {loadSettings} from '@vanillamux/shared';
import {comparePlacements} from '../src/day/compare_placements.js';
import type {DaySpec} from '../src/day/day_spec.js';
import {daySpecSchema} from '../src/day/day_spec_schema.js';
import {playDay} from '../src/day/play_day.js';
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
      playDay({spec, seed, placement: PlacementPolicyName.EngineTime});
    assert.deepEqual(play(7), play(7));
    assert.notDeepEqual(play(7), play(8));
  });

  for (const site of SITES) {
    it(`on ${site} serves every kind better than the baselines`, async () => {
      const spec = await loadDay(site);
      const [roundRobin, least, ours] = comparePlacements({spec, seeds: SEEDS});
      assert.equal(ours!.placement, PlacementPolicyName.EngineTime);
      for (const {placement, summary} of [roundRobin!, least!]) {
        assert.ok(ours!.summary.share > summary.share, placement);
        for (const [at, kind] of ours!.summary.classes.entries()) {
          const theirs = summary.classes[at]!;
          assert.equal(kind.name, theirs.name);
          assert.ok(kind.share > theirs.share, `${kind.name}, ${placement}`);
        }
      }
    });

    it(`on ${site} earns nine tenths of the credit of a heavy day`, async () => {
      const spec = await loadDay(site);
      const placements = [PlacementPolicyName.EngineTime];
      const seeds = [1, 2, 3, 4, 5, 6, 7, 8];
      const [ours] = comparePlacements({spec, seeds, placements});
      const {share} = ours!.summary;
      assert.ok(share >= TARGET_SHARE, `share ${share}`);
    });

    it(`on ${site} gains by what hosts tell each other`, async () => {
      const spec = await loadDay(site);
      const [told, alone] = [true, false].map(notices => {
        const placement = PlacementPolicyName.EngineTime;
        return summarizeDay(
          SEEDS.flatMap(seed => playDay({spec, seed, placement, notices})),
        );
      });
      assert.ok(told!.share > alone!.share, `${told!.share}, ${alone!.share}`);
    });
  }
});
