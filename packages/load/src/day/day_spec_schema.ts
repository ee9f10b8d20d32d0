import {z} from 'zod';

const positive = z.number().positive();

/** Sizes sampled from a log-normal distribution and capped at `max`. */
const sizeSchema = z
  .object({
    mean: positive,
    /** Standard deviation of the logarithm. */
    sigma: z.number().min(0),
    max: positive,
  })
  .strict();

const classSchema = z
  .object({
    name: z.string().min(1),
    perSecond: positive,
    promptTokens: sizeSchema,
    /** Stream events; each carries the output tokens of one iteration. */
    events: sizeSchema,
    /** Goal for the time to the first event. */
    goalMs: positive,
    /** Goal for the longest pause between two events. */
    pauseGoalMs: positive,
    deadlineMs: positive,
    /** Credit for a request of mean prompt size within its goals, and late. */
    credit: positive,
    lateCredit: z.number().min(0),
    /** 0 is the most urgent. */
    priority: z.number().int().min(0).default(1),
  })
  .strict();

const phaseSchema = z
  .object({
    fromSecond: z.number().min(0),
    toSecond: positive,
    /** Factor on the arrival rate by class name; 1 if absent. */
    factors: z.record(positive),
    /** Factor on what workspaces send, by name; their requests are added. */
    shares: z.record(positive).default({}),
  })
  .strict();

const outageSchema = z
  .object({
    /** Requests that arrive from this time on wait until `toSecond`. */
    fromSecond: z.number().min(0),
    toSecond: positive,
  })
  .strict();

const slowdownSchema = z
  .object({
    /** Engines that are slow, counted from the first. */
    engines: positive.int(),
    /** Factor on all of their times. */
    factor: positive,
    fromSecond: z.number().min(0),
    toSecond: positive,
  })
  .strict();

const departureSchema = z
  .object({
    /** Engines that leave, counted from the first. */
    engines: positive.int(),
    fromSecond: z.number().min(0),
    toSecond: positive,
  })
  .strict();

const workspaceSchema = z
  .object({
    name: z.string().min(1),
    /** Weight of its requests among those of all workspaces. */
    share: positive,
  })
  .strict();

/** Events that a load has of its own. */
const eventsSchema = {
  phases: z.array(phaseSchema).default([]),
  /** Intervals in which engines are slow. */
  slowdowns: z.array(slowdownSchema).default([]),
  /** Intervals in which engines take no new work. */
  departures: z.array(departureSchema).default([]),
  /** Intervals in which no host places requests, as when all restart. */
  outages: z.array(outageSchema).default([]),
};

const engineSchema = z
  .object({
    batchSize: positive,
    memoryTokens: positive,
    stepMs: positive,
    stepMsPerSequence: z.number().min(0),
    stepMsPerThousandTokens: z.number().min(0),
    prefillTokensPerMs: positive,
    prefillMsPerMillionPairs: z.number().min(0),
    stepsPerPass: positive,
    chunkTokens: positive,
  })
  .strict();

/** A day to simulate: engines, entry hosts and the arriving requests. */
export const daySpecSchema = z
  .object({
    name: z.string().min(1),
    seconds: positive,
    engine: engineSchema,
    failureDomains: positive.int(),
    enginesPerDomain: positive.int(),
    hostsPerDomain: positive.int(),
    /** One-way delay between hosts of different failure domains. */
    domainDelayMs: z.number().min(0),
    /** One-way delay between a client and its entry host. */
    clientDelayMs: z.number().min(0),
    classes: z.array(classSchema).min(1),
    workspaces: z
      .array(workspaceSchema)
      .min(1)
      .default([{name: 'default', share: 1}]),
    ...eventsSchema,
    /** Loads that replace the events above. */
    loads: z
      .array(z.object({name: z.string().min(1), ...eventsSchema}).strict())
      .default([]),
  })
  .strict();
