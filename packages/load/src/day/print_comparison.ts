import type {PlacementSummary} from './compare_placements.js';

const SHARE_DIGITS = 3;

/** Renders summaries as a table in Markdown, one row a placement and kind. */
export function printComparison(results: readonly PlacementSummary[]): string {
  const rows = results.flatMap(({placement, summary}) => [
    `| ${placement} | **all** | | | | | | ${summary.share.toFixed(SHARE_DIGITS)} | | | | | |`,
    ...summary.classes.map(
      ({
        name,
        asked,
        inGoal,
        lateFirst,
        latePause,
        failed,
        share,
        firstP50Ms,
        firstP99Ms,
        pauseP50Ms,
        pauseP99Ms,
        meanEngines,
      }) =>
        `| | ${name} | ${asked} | ${inGoal} | ${lateFirst} | ${latePause} | ${failed} | ${share.toFixed(SHARE_DIGITS)} | ${Math.round(firstP50Ms)} | ${Math.round(firstP99Ms)} | ${Math.round(pauseP50Ms)} | ${Math.round(pauseP99Ms)} | ${meanEngines.toFixed(1)} |`,
    ),
  ]);
  return [
    '| placement | kind | asked | in goal | late by first event | late by pause | failed | credit | first p50 ms | first p99 ms | pause p50 ms | pause p99 ms | engines |',
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}
