import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {DayArrival} from './day_arrival.js';
import type {RequestClass, DaySpec} from './day_spec.js';

const MS_PER_SECOND = 1_000;
/** Each kind draws from its own source, so that one does not move others. */
const CLASS_SEED_STEP = 7_919;
/** Standard deviation of the logarithm of a client's estimate. */
const ESTIMATE_SIGMA = 0.5;

/** Plans the arrivals of a virtual day: a Poisson process for each kind. */
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
  const hosts = spec.failureDomains * spec.hostsPerDomain;
  const arrivals: DayArrival[] = [];
  const factors = spec.phases.map(
    ({factors}) => factors[requestClass.name] ?? 1,
  );
  const maxFactor = Math.max(1, ...factors);
  let second = 0;
  for (;;) {
    // Thinning (Lewis and Shedler, 1979): drawn at the highest rate, then kept
    // with the share that the rate of the moment has of it.
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
      requestClass: requestClass,
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
  const phase = spec.phases.find(
    ({fromSecond, toSecond}) => second >= fromSecond && second < toSecond,
  );
  return phase?.factors[requestClass.name] ?? 1;
}

function sampleSize(
  {mean, sigma, max}: RequestClass['events'],
  random: () => number,
): number {
  const mu = Math.log(mean) - sigma ** 2 / 2;
  return Math.min(max, Math.exp(mu + sigma * sampleNormal(random)));
}

/** Box and Muller, 1958. */
function sampleNormal(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}
