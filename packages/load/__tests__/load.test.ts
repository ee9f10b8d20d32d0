import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseYaml} from '@vanillamux/shared';
import {readFileSync} from 'node:fs';
import {
  loadSpecSchema,
  planArrivals,
  renderReport,
  summarize,
  type LoadSpec,
} from '../src/index.js';

const EXAMPLES = [
  'examples/poldtoetus/load/morning-rush.yaml',
  'examples/poldtoetus/load/overnight.yaml',
  'examples/cobranzas/load/live-calls.yaml',
];

function loadExample(file: string): LoadSpec {
  const parsed = parseYaml(readFileSync(file, 'utf8'), loadSpecSchema, file);
  assert.ok(parsed.ok, parsed.ok ? '' : parsed.error.message);
  return parsed.value;
}

describe('experiments', () => {
  for (const file of EXAMPLES) {
    it(`plan the same arrivals for the same seed: ${file}`, () => {
      const spec = loadExample(file);
      const arrivals = planArrivals(spec);
      assert.deepEqual(planArrivals(spec), arrivals);
      assert.notDeepEqual(
        planArrivals({...spec, seed: spec.seed + 1}),
        arrivals,
      );
      for (const stream of spec.streams) {
        const streamArrivals = arrivals.filter(
          item => item.stream.name === stream.name,
        );
        const seconds =
          Math.min(stream.toSecond ?? Infinity, spec.durationSeconds) -
          stream.fromSecond;
        const expected = stream.requestsPerSecond * seconds;
        const tolerance = 5 * Math.sqrt(expected) + 1;
        assert.ok(
          Math.abs(streamArrivals.length - expected) <= tolerance,
          stream.name,
        );
        for (const {promptTokens} of streamArrivals) {
          assert.ok(promptTokens >= stream.minPromptTokens);
          assert.ok(promptTokens <= stream.maxPromptTokens);
        }
      }
    });
  }

  it('leave the arrivals of one stream as they are when another is added', () => {
    const spec = loadExample(EXAMPLES[0]!);
    const [first] = spec.streams;
    const alone = planArrivals({...spec, streams: [first!]});
    const together = planArrivals(spec).filter(
      ({stream}) => stream.name === first!.name,
    );
    assert.deepEqual(together, alone);
  });

  it('count goodput only within the window, and errors by code', () => {
    const spec = loadExample(EXAMPLES[0]!);
    const [stream] = spec.streams;
    const arrival = (atMs: number, promptTokens: number) => ({
      atMs,
      stream: stream!,
      promptTokens,
      sequence: 0,
    });
    const result = summarize(
      [
        {arrival: arrival(1_000, 2_000), firstTokenMs: 50, endMs: 100},
        {arrival: arrival(9_000, 3_000), firstTokenMs: 500, endMs: 4_000},
        {arrival: arrival(2_000, 2_000), endMs: 5, error: 'queue_full'},
      ],
      {durationSeconds: 10, warmUpSeconds: 0, prefillTokensPerSecond: 40_000},
    );
    assert.equal(result.goodputTokensPerSecond, 200);
    assert.equal(result.completed, 2);
    assert.deepEqual(result.errors, {queue_full: 1});
    assert.equal(result.refusal.max, 5);
    const [bucket] = result.buckets;
    assert.equal(bucket?.sent, 3);
    const report = renderReport('<rush>', result);
    assert.match(report, /&lt;rush>/);
    assert.match(report, /1k-4k/);
  });
});
