import {escapeHtml, EventKind, type TimelineEvent} from '@vanillamux/shared';

const WIDTH = 960;
const LABEL_WIDTH = 130;
const LANE_HEIGHT = 26;
const AXIS_HEIGHT = 24;
const TICK_COUNT = 6;
const MAX_TABLE_ROWS = 2_000;

const COLOUR_BY_EVENT_KIND: Readonly<Partial<Record<EventKind, string>>> = {
  [EventKind.LeaderElected]: '#7a3fa0',
  [EventKind.LeaderLost]: '#7a3fa0',
  [EventKind.MemberChanged]: '#7a3fa0',
  [EventKind.Declared]: '#1f7a4d',
  [EventKind.Evacuated]: '#c77700',
  [EventKind.InForce]: '#1f7a4d',
  [EventKind.Stale]: '#c77700',
  [EventKind.BackendLost]: '#c0302b',
  [EventKind.Refused]: '#c0302b',
  [EventKind.AttemptFailed]: '#c0302b',
  [EventKind.FaultInjected]: '#c0302b',
};
const DEFAULT_COLOUR = '#3b6ea5';

/**
 * Renders events as an HTML page: one lane per host on a common time axis,
 * followed by a table of the events. The page loads no external resources.
 */
export function renderTimeline(events: readonly TimelineEvent[]): string {
  return `<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Time line</title>
<style>
body{font:14px/1.5 sans-serif;margin:2em auto;max-width:${WIDTH}px;color:#222}
table{border-collapse:collapse;width:100%}td,th{padding:.15em .6em;text-align:left;vertical-align:top}
tr{border-bottom:1px solid #e4e4e4}td:first-child{white-space:nowrap;font-variant-numeric:tabular-nums}
</style>
<h1>Time line</h1>
<p>${events.length} events. Purple: control group. Green: declarations. Red: refusals and
failures. Orange: stale. Blue: everything else.</p>
${renderLanes(events)}
<table><tr><th>time<th>host<th>event<th>request<th>detail</tr>
${events.slice(-MAX_TABLE_ROWS).map(renderRow).join('\n')}
</table></html>
`;
}

function renderLanes(events: readonly TimelineEvent[]): string {
  const hosts = [...new Set(events.map(({host}) => host))].sort();
  const timesMs = events.map(parseEventTimeMs);
  const startMs = Math.min(...timesMs);
  const spanMs = Math.max(1, Math.max(...timesMs) - startMs);
  const toX = (time: number): number =>
    LABEL_WIDTH + ((time - startMs) / spanMs) * (WIDTH - LABEL_WIDTH - 10);
  const lanes = hosts.map((host, index) => {
    const y = index * LANE_HEIGHT + LANE_HEIGHT / 2;
    return `<text x="0" y="${y + 5}">${escapeHtml(host)}</text><line x1="${LABEL_WIDTH}" x2="${WIDTH}" y1="${y}" y2="${y}" stroke="#ddd"/>`;
  });
  const dots = events.map(event => {
    const y = hosts.indexOf(event.host) * LANE_HEIGHT + LANE_HEIGHT / 2;
    const x = toX(parseEventTimeMs(event)).toFixed(1);
    const colour = COLOUR_BY_EVENT_KIND[event.kind] ?? DEFAULT_COLOUR;
    return `<circle cx="${x}" cy="${y}" r="4" fill="${colour}" fill-opacity=".7"><title>${escapeHtml(`${event.at} ${event.kind} ${event.detail}`)}</title></circle>`;
  });
  const bottom = hosts.length * LANE_HEIGHT;
  const ticks = Array.from({length: TICK_COUNT}, (_, tick) => {
    const seconds = (tick / (TICK_COUNT - 1)) * (spanMs / 1_000);
    const x = toX(startMs + seconds * 1_000);
    const anchor = tick === TICK_COUNT - 1 ? 'end' : 'start';
    return `<text x="${x.toFixed(1)}" y="${bottom + 18}" text-anchor="${anchor}" fill="#666">${seconds.toFixed(1)} s</text>`;
  });
  return `<svg width="${WIDTH}" height="${bottom + AXIS_HEIGHT}">${lanes.join('')}${dots.join('')}${ticks.join('')}</svg>`;
}

function renderRow(event: TimelineEvent): string {
  const {at, host, failureDomain, kind, requestId = '', detail} = event;
  const cells = [at, `${host} (${failureDomain})`, kind, requestId, detail];
  return `<tr>${cells.map(cell => `<td>${escapeHtml(cell)}`).join('')}</tr>`;
}

function parseEventTimeMs({at}: TimelineEvent): number {
  return Date.parse(at.split('~')[0] ?? '');
}
