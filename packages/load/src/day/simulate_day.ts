import type {DayOutcome} from './day_outcome.js';
import {planDay} from './plan_day.js';
import type {SimulationOptions} from './simulation_options.js';
import {DaySimulation} from './day_simulation.js';

/** Simulates a day with one placement policy; deterministic in its options. */
export function simulateDay(options: SimulationOptions): DayOutcome[] {
  const simulation = new DaySimulation(options);
  return simulation.run(planDay(options.spec, options.seed));
}
