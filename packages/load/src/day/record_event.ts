import type {DayOutcome} from './day_outcome.js';

/** Enters an event that reaches the client `atMs` after it asked. */
export function recordEvent(
  outcome: DayOutcome,
  atMs: number,
  isLast: boolean,
): void {
  outcome.firstEventMs ??= atMs;
  const pauseMs = atMs - (outcome.lastEventMs ?? atMs);
  outcome.longestPauseMs = Math.max(outcome.longestPauseMs, pauseMs);
  outcome.lastEventMs = atMs;
  if (isLast)
    outcome.isCompleted = atMs <= outcome.arrival.requestClass.deadlineMs;
}
