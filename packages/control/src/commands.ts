import type {z} from 'zod';
import type {commandSchemas} from './command_schema.js';

/** Replaces the declarations if their version is the expected one. */
export type DeclareCommand = z.infer<typeof commandSchemas.declare>;

/** Reserves an idempotency key before the request is sent. */
export type ReserveCommand = z.infer<typeof commandSchemas.reserve>;

/** Stores the outcome of a request whose key is reserved. */
export type SettleCommand = z.infer<typeof commandSchemas.settle>;

/** Marks reservations with an ended lease unknown; removes old responses. */
export type ExpireCommand = z.infer<typeof commandSchemas.expire>;

/** Grants or renews a fencing number for the orders of a backend server. */
export type FenceCommand = z.infer<typeof commandSchemas.fence>;

/** Replaces the published document if the version is higher. */
export type PublishCommand = z.infer<typeof commandSchemas.publish>;

/** Replaces the emptied failure domains if the revision is higher. */
export type EvacuateCommand = z.infer<typeof commandSchemas.evacuate>;

/** Any command in the replicated log. */
export type Command =
  | DeclareCommand
  | ReserveCommand
  | SettleCommand
  | ExpireCommand
  | FenceCommand
  | PublishCommand
  | EvacuateCommand;
