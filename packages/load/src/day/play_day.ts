import type {DayOutcome} from './day_outcome.js';
import {planDay} from './plan_day.js';
import type {PlayOptions} from './play_options.js';
import {VirtualDay} from './virtual_day.js';

/** Plays a virtual day with one placement; the same options repeat. */
export function playDay(options: PlayOptions): DayOutcome[] {
  const day = new VirtualDay(options);
  return day.play(planDay(options.spec, options.seed));
}
