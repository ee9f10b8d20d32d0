import {escapeHtml} from '@vanillamux/shared';
import type {LoadResult} from './load_result.js';

const CHART_WIDTH = 640;
const BAR_HEIGHT = 22;
const LABEL_WIDTH = 120;
const VALUE_WIDTH = 90;

/** Renders results as an HTML page with plots; needs nothing from outside. */
export function renderReport(title: string, result: LoadResult): string {
  const {buckets, errors, keys, refusal} = result;
  const firstTokens = buckets.map(
    ({bucket, firstToken}) => [bucket, firstToken.p95] as const,
  );
  const shares = keys.map(
    ({apiKey, promptTokens}) => [apiKey, promptTokens] as const,
  );
  const refusals = Object.entries(errors);
  return `<!doctype html>
<html lang="en"><meta charset="utf-8"><title>${escapeHtml(title)}</title>
<style>
body{font:15px/1.5 sans-serif;margin:2em auto;max-width:46em;color:#222}
table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}
th:first-child,td:first-child{text-align:left}tr{border-bottom:1px solid #ddd}
rect{fill:#3b6ea5}
</style>
<h1>${escapeHtml(title)}</h1>
<p>${result.completed} of ${result.sent} requests completed in
${result.durationSeconds} s; ${result.goodputTokensPerSecond} prompt tokens a
second.</p>
<h2>Time to first token by prompt length, 95th percentile in ms</h2>
${renderBars(firstTokens)}
${renderBuckets(result)}
<h2>Prompt tokens served by workspace key</h2>
${renderBars(shares)}
<h2>Refusals and failures</h2>
${refusals.length > 0 ? renderBars(refusals) : '<p>None.</p>'}
<p>A refusal was answered within ${refusal.p95} ms for 95 in 100.</p>
</html>
`;
}

function renderBuckets({buckets}: LoadResult): string {
  const rows = buckets.map(
    ({bucket, sent, completed, firstToken: {p50, p95, p99}, stretchP95}) =>
      `<tr><td>${bucket}<td>${sent}<td>${completed}<td>${p50}<td>${p95}<td>${p99}<td>${stretchP95}</tr>`,
  );
  return `<table><tr><th>length<th>sent<th>completed<th>p50<th>p95<th>p99<th>p95 over unloaded</tr>${rows.join('')}</table>`;
}

function renderBars(items: ReadonlyArray<readonly [string, number]>): string {
  const maxValue = Math.max(1, ...items.map(([, value]) => value));
  const maxBarWidth = CHART_WIDTH - LABEL_WIDTH - VALUE_WIDTH;
  const bars = items.map(([label, value], index) => {
    const y = index * BAR_HEIGHT;
    const width = Math.round((value / maxValue) * maxBarWidth);
    const textY = y + BAR_HEIGHT - 7;
    return `<text x="0" y="${textY}">${escapeHtml(label)}</text><rect x="${LABEL_WIDTH}" y="${y + 3}" width="${width}" height="${BAR_HEIGHT - 6}"/><text x="${LABEL_WIDTH + width + 6}" y="${textY}">${Math.round(value)}</text>`;
  });
  return `<svg width="${CHART_WIDTH}" height="${items.length * BAR_HEIGHT}">${bars.join('')}</svg>`;
}
