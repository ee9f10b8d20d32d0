import type {z} from 'zod';
import type {declarationsSchema} from './declarations_schema.js';

/** The declarations document with defaults filled in. */
export type Declarations = z.infer<typeof declarationsSchema>;

/** A customer of the fleet with its keys and limits. */
export type WorkspaceDeclaration = Declarations['workspaces'][number];

/** A class of requests with priority, deadline and limits. */
export type ClassDeclaration = Declarations['classes'][number];

/** Maps a model and prompt length to a class of requests. */
export type RoutingRule = Declarations['routing'][number];

/** A service and its at-most-once requests. */
export type ServiceDeclaration = Declarations['services'][number];
