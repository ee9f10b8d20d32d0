import type {PlacementSummary} from './compare_placements.js';

const SHARE_DIGITS = 3;

/** Renders summaries as a table in Markdown, one row a placement and kind. */
export function renderComparison(results: readonly PlacementSummary[]): string {
  const rows = results.flatMap(({placement, summary}) => [
    `| ${placement} | **all** | | | | | | ${summary.creditShare.toFixed(SHARE_DIGITS)} | | | | | |`,
    ...summary.classes.map(
      ({
        name,
        requestCount: requestCount,
        withinGoal: withinGoal,
        lateByFirstEvent: lateByFirstEvent,
        lateByPause: lateByPause,
        failed,
        creditShare: creditShare,
        firstEventP50Ms: firstEventP50Ms,
        firstEventP99Ms: firstEventP99Ms,
        pauseP50Ms,
        pauseP99Ms,
        meanPrefillEngines: meanPrefillEngines,
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
