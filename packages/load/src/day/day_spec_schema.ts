import {z} from 'zod';

const positive = z.number().positive();

/** Sizes drawn from a log-normal distribution and cut at `max`. */
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
    /** Groups of answer tokens that leave together. */
    events: sizeSchema,
    /** Time to the first event that is aimed at. */
    goalMs: positive,
    /** Longest pause between events that is aimed at. */
    pauseGoalMs: positive,
    deadlineMs: positive,
    /** Credit of an answer of mean size, in time and late. */
    credit: positive,
    lateCredit: z.number().min(0),
  })
  .strict();

const phaseSchema = z
  .object({
    fromSecond: z.number().min(0),
    toSecond: positive,
    /** Factor on the rate by name of the kind; 1 for those left out. */
    factors: z.record(positive),
  })
  .strict();

const outageSchema = z
  .object({
    /** Requests that arrive from here on wait until `toSecond`. */
    fromSecond: z.number().min(0),
    toSecond: positive,
  })
  .strict();

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

/** A virtual day: engines, entry hosts and the requests that come. */
export const daySpecSchema = z
  .object({
    name: z.string().min(1),
    seconds: positive,
    engine: engineSchema,
    failureDomains: positive.int(),
    enginesPerDomain: positive.int(),
    hostsPerDomain: positive.int(),
    /** One way between hosts of different failure domains, in milliseconds. */
    domainDelayMs: z.number().min(0),
    /** One way between a client and its entry host, in milliseconds. */
    clientDelayMs: z.number().min(0),
    classes: z.array(classSchema).min(1),
    phases: z.array(phaseSchema).default([]),
    /** Times in which no host places anything, as after a restart of all. */
    outages: z.array(outageSchema).default([]),
  })
  .strict();
