import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {DayArrival} from './day_arrival.js';
import type {RequestClass, DaySpec} from './day_spec.js';

type Phase = DaySpec['phases'][number];

const MS_PER_SECOND = 1_000;
/** Each class has its own seed, so that changing one leaves others alone. */
const CLASS_SEED_STEP = 7_919;
/** Workspaces are drawn apart, so that naming some leaves the arrivals alone. */
const WORKSPACE_SEED_STEP = 104_729;
/** Standard deviation of the logarithm of a client's estimate. */
const ESTIMATE_SIGMA = 0.5;

/** Plans the arrivals of a day: a Poisson process for each class. */
export function planDay(spec: DaySpec, seed: number): DayArrival[] {
  return spec.classes
    .flatMap((requestClass, index) =>
      planClassArrivals(spec, requestClass, seed + index * CLASS_SEED_STEP),
    )
    .sort((a, b) => a.atMs - b.atMs);
}

function planClassArrivals(
  spec: DaySpec,
  requestClass: RequestClass,
  seed: number,
): DayArrival[] {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const workspaceGenerator = xoroshiro128plus(seed + WORKSPACE_SEED_STEP);
  const hosts = spec.failureDomains * spec.hostsPerDomain;
  const arrivals: DayArrival[] = [];
  const factors = spec.phases.map(
    phase => (phase.factors[requestClass.name] ?? 1) * growth(spec, phase),
  );
  const maxFactor = Math.max(1, ...factors);
  let second = 0;
  for (;;) {
    // Thinning (Lewis and Shedler, 1979): arrivals are sampled at the highest
    // rate and accepted with the ratio of the current rate to the highest.
    second += -Math.log(1 - random()) / (requestClass.perSecond * maxFactor);
    if (second >= spec.seconds) return arrivals;
    if (random() * maxFactor >= factorAt(spec, requestClass, second)) continue;
    const events = Math.max(
      1,
      Math.round(sampleSize(requestClass.events, random)),
    );
    const estimate = Math.exp(ESTIMATE_SIGMA * sampleNormal(random));
    arrivals.push({
      atMs: second * MS_PER_SECOND,
      requestClass,
      workspace: chooseWorkspace(
        spec,
        second,
        uniformFloat64(workspaceGenerator),
      ),
      host: Math.floor(random() * hosts),
      promptTokens: Math.round(sampleSize(requestClass.promptTokens, random)),
      events,
      answerTokens: Math.round(events * spec.engine.stepsPerPass * estimate),
    });
  }
}

function factorAt(
  spec: DaySpec,
  requestClass: RequestClass,
  second: number,
): number {
  const phase = phaseAt(spec, second);
  if (!phase) return 1;
  return (phase.factors[requestClass.name] ?? 1) * growth(spec, phase);
}

function phaseAt({phases}: DaySpec, second: number): Phase | undefined {
  return phases.find(
    ({fromSecond, toSecond}) => second >= fromSecond && second < toSecond,
  );
}

/** Factor on all arrivals as some workspaces send more. */
function growth({workspaces}: DaySpec, phase: Phase): number {
  const usual = workspaces.reduce((sum, {share}) => sum + share, 0);
  return sumShares(workspaces, phase) / usual;
}

function sumShares(
  workspaces: DaySpec['workspaces'],
  phase: Phase | undefined,
): number {
  return workspaces.reduce(
    (sum, {name, share}) => sum + share * (phase?.shares[name] ?? 1),
    0,
  );
}

function chooseWorkspace(
  spec: DaySpec,
  second: number,
  random: number,
): string {
  const {workspaces} = spec;
  const phase = phaseAt(spec, second);
  let left = random * sumShares(workspaces, phase);
  for (const {name, share} of workspaces) {
    left -= share * (phase?.shares[name] ?? 1);
    if (left < 0) return name;
  }
  return workspaces.at(-1)!.name;
}

function sampleSize(
  {mean, sigma, max}: RequestClass['events'],
  random: () => number,
): number {
  const mu = Math.log(mean) - sigma ** 2 / 2;
  return Math.min(max, Math.exp(mu + sigma * sampleNormal(random)));
}

/** Samples the standard normal distribution (Box and Muller, 1958). */
function sampleNormal(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}
