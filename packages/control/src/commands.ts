import type {z} from 'zod';
import type {commandSchemas} from './command_schema.js';

/** Replaces the declarations if the version is the expected one. */
export type DeclareCommand = z.infer<typeof commandSchemas.declare>;

/** Reserves an idempotency key before anything is sent. */
export type ReserveCommand = z.infer<typeof commandSchemas.reserve>;

/** Settles the outcome of a reserved request. */
export type SettleCommand = z.infer<typeof commandSchemas.settle>;

/** Ends reservations whose lease has passed and forgets old answers. */
export type ExpireCommand = z.infer<typeof commandSchemas.expire>;

/** Issues the next fencing number for a backend server. */
export type FenceCommand = z.infer<typeof commandSchemas.fence>;

/** Replaces the published document if the version is higher. */
export type PublishCommand = z.infer<typeof commandSchemas.publish>;

/** Any command in the replicated log. */
export type Command =
  | DeclareCommand
  | ReserveCommand
  | SettleCommand
  | ExpireCommand
  | FenceCommand
  | PublishCommand;
