import type {PlacementSummary} from './compare_placements.js';

const SHARE_DIGITS = 3;

/** Renders a Markdown table with a row per placement policy and class. */
export function renderComparison(results: readonly PlacementSummary[]): string {
  const rows = results.flatMap(({placement, summary}) => [
    `| ${placement} | **all** | | | | | | ${summary.creditShare.toFixed(SHARE_DIGITS)} | | | | | |`,
    ...summary.classes.map(
      ({
        name,
        requestCount,
        withinGoal,
        lateByFirstEvent,
        lateByPause,
        failed,
        creditShare,
        firstEventP50Ms,
        firstEventP99Ms,
        pauseP50Ms,
        pauseP99Ms,
        meanPrefillEngines,
      }) =>
        `| | ${name} | ${requestCount} | ${withinGoal} | ${lateByFirstEvent} | ${lateByPause} | ${failed} | ${creditShare.toFixed(SHARE_DIGITS)} | ${Math.round(firstEventP50Ms)} | ${Math.round(firstEventP99Ms)} | ${Math.round(pauseP50Ms)} | ${Math.round(pauseP99Ms)} | ${meanPrefillEngines.toFixed(1)} |`,
    ),
  ]);
  return [
    '| placement | kind | asked | in goal | late by first event | late by pause | failed | credit | first p50 ms | first p99 ms | pause p50 ms | pause p99 ms | engines |',
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}
