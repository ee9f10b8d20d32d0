import {z} from 'zod';

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]*$/, 'expected a lower-case name without spaces');
const positiveInteger = z.number().int().positive();
const DEFAULT_RETENTION_MS = 7 * 24 * 60 * 60 * 1_000;
const DEFAULT_CONCURRENCY = 256;
const DEFAULT_QUEUE_LENGTH = 1_024;
const DEFAULT_CLASS_DEADLINE_MS = 60_000;

const workspaceSchema = z
  .object({
    name,
    /** SHA-256 of each API key, as `sha256:` and 64 hexadecimal digits. */
    keys: z
      .array(
        z
          .string()
          .regex(/^sha256:[0-9a-f]{64}$/, 'expected sha256:<64 hex digits>'),
      )
      .min(1),
    /** Share of the fleet against other workspaces of a class. */
    weight: z.number().positive().default(1),
    tokensPerSecond: positiveInteger.optional(),
    burstTokens: positiveInteger.optional(),
    concurrency: positiveInteger.default(DEFAULT_CONCURRENCY),
  })
  .strict();

const classSchema = z
  .object({
    name,
    /** Engine priority; 0 goes first. */
    priority: z.number().int().min(0).max(9).default(5),
    deadlineMs: positiveInteger.default(DEFAULT_CLASS_DEADLINE_MS),
    concurrency: positiveInteger.optional(),
    queue: z.number().int().min(0).default(DEFAULT_QUEUE_LENGTH),
    /** Classes with a higher number are shed first under overload. */
    shedOrder: z.number().int().min(0).default(5),
  })
  .strict();

const routingSchema = z
  .object({
    model: name,
    /** The rule applies to prompts up to this length. */
    maxPromptTokens: positiveInteger.optional(),
    class: name,
  })
  .strict();

const atMostOnceSchema = z
  .object({
    method: z.enum(['POST', 'PUT', 'PATCH', 'DELETE']).default('POST'),
    path: z.string().startsWith('/'),
  })
  .strict();

const serviceSchema = z
  .object({
    name,
    class: name,
    atMostOnce: z.array(atMostOnceSchema).default([]),
    /** How long the answers of at-most-once requests are kept. */
    retentionMs: positiveInteger.default(DEFAULT_RETENTION_MS),
  })
  .strict();

const backendSchema = z
  .object({
    /** Id of a backend server, or a prefix that ends in `*`. */
    id: z.string().min(1),
    checksFencing: z.boolean().default(false),
    /** A drained backend server gets no new requests. */
    drained: z.boolean().default(false),
  })
  .strict();

/** The whole document of declarations. */
export const declarationsSchema = z
  .object({
    workspaces: z.array(workspaceSchema).default([]),
    classes: z.array(classSchema).default([]),
    routing: z.array(routingSchema).default([]),
    services: z.array(serviceSchema).default([]),
    backends: z.array(backendSchema).default([]),
  })
  .strict();
