import type {DayOutcome} from './day_outcome.js';
import {planDay} from './plan_day.js';
import type {SimulationOptions} from './simulation_options.js';
import {DaySimulation} from './day_simulation.js';

/** Plays a virtual day with one placement; the same options repeat. */
export function simulateDay(options: SimulationOptions): DayOutcome[] {
  const simulation = new DaySimulation(options);
  return simulation.run(planDay(options.spec, options.seed));
}
