import {ApiClient} from '@vanillamux/fleet';
import {monotonicMs, sleep, type Address} from '@vanillamux/shared';
import type {Arrival} from './arrival.js';
import type {LoadSpec} from './load_spec.js';
import {planArrivals} from './plan_arrivals.js';
import type {Sample} from './sample.js';

const CHARACTERS_PER_TOKEN = 4;
const MS_PER_SECOND = 1_000;
const FILLER = 'field parcel with hedgerow and stream ';

/**
 * Sends every request at its planned time to the entry hosts in turn, without
 * waiting for earlier responses. Returns the samples after the warm-up.
 */
export async function runLoad(
  spec: LoadSpec,
  entries: readonly Address[],
): Promise<Sample[]> {
  const callers = entries.map(entry => new ApiClient(entry));
  const startMs = monotonicMs();
  const pending: Array<Promise<Sample>> = [];
  let nextCaller = 0;
  for (const arrival of planArrivals(spec)) {
    const waitMs = startMs + arrival.atMs - monotonicMs();
    if (waitMs > 0) await sleep(waitMs);
    const caller = callers[nextCaller++ % callers.length]!;
    pending.push(sendRequest(caller, arrival, startMs + arrival.atMs));
  }
  const samples = await Promise.all(pending);
  await Promise.all(callers.map(caller => caller.close()));
  const warmUpMs = spec.warmUpSeconds * MS_PER_SECOND;
  return samples.filter(({arrival}) => arrival.atMs >= warmUpMs);
}

async function sendRequest(
  caller: ApiClient,
  arrival: Arrival,
  plannedMs: number,
): Promise<Sample> {
  const {stream} = arrival;
  const sentLateMs = monotonicMs() - plannedMs;
  try {
    const outcome = await caller.chat({
      apiKey: stream.apiKey,
      model: stream.model,
      prompt: composePrompt(arrival),
      maxTokens: stream.answerTokens,
    });
    const isIncomplete = outcome.outputTokens < stream.answerTokens;
    return {
      arrival,
      firstTokenMs:
        outcome.timeToFirstTokenMs === undefined
          ? undefined
          : outcome.timeToFirstTokenMs + sentLateMs,
      endMs: monotonicMs() - plannedMs,
      error: outcome.errorCode ?? (isIncomplete ? 'incomplete' : undefined),
    };
  } catch (error) {
    const code = (error as {code?: string}).code ?? 'connection_failed';
    return {arrival, endMs: monotonicMs() - plannedMs, error: code};
  }
}

function composePrompt({stream, promptTokens, sequence}: Arrival): string {
  const characters = promptTokens * CHARACTERS_PER_TOKEN;
  const shared = repeatToLength(
    `${stream.name} instructions `,
    stream.sharedPrefixTokens * CHARACTERS_PER_TOKEN,
  );
  const unique = `request ${stream.name} ${sequence} `;
  return (shared + unique + repeatToLength(FILLER, characters)).slice(
    0,
    characters,
  );
}

function repeatToLength(text: string, characters: number): string {
  return text.repeat(Math.ceil(characters / text.length)).slice(0, characters);
}
