import {writeFile} from 'node:fs/promises';
import type {TimelineEvent} from '@vanillamux/shared';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {OutputFormat} from '../output_format.js';
import {renderTimeline} from '../render_timeline.js';

/** Selects events of the time line. */
export interface TimelineFilter {
  readonly request?: string;
  readonly host?: string;
  readonly kind?: string;
  /** File that receives the time line as a page. */
  readonly html?: string;
}

/** Merges the events of all processes by hybrid logical time. */
export async function timelineCommand(
  {session, output}: CommandContext,
  filter: TimelineFilter,
): Promise<ExitCode> {
  const control = await session.control.callAll((api, signal) =>
    api.group.events.query(undefined, {signal}),
  );
  const entries = await session.callEntryHosts<TimelineEvent[]>((api, signal) =>
    api.events.query(undefined, {signal}),
  );
  const events = [...control, ...entries]
    .flatMap(({result}) => (result.ok ? result.value : []))
    .filter(event => matchesFilter(event, filter))
    .sort((a, b) => (a.at < b.at ? -1 : 1));
  if (filter.html) {
    await writeFile(filter.html, renderTimeline(events));
    process.stdout.write(`Wrote ${events.length} events to ${filter.html}.\n`);
    return ExitCode.Ok;
  }
  if (output === OutputFormat.Json) {
    process.stdout.write(`${JSON.stringify(events, undefined, 2)}\n`);
    return ExitCode.Ok;
  }
  for (const {at, host, failureDomain, kind, requestId, detail} of events) {
    const request = requestId ? ` ${requestId}` : '';
    process.stdout.write(
      `${at} ${host}@${failureDomain} ${kind}${request}: ${detail}\n`,
    );
  }
  return ExitCode.Ok;
}

function matchesFilter(event: TimelineEvent, filter: TimelineFilter): boolean {
  if (filter.request && event.requestId !== filter.request) return false;
  if (filter.host && event.host !== filter.host) return false;
  return !filter.kind || event.kind === filter.kind;
}
