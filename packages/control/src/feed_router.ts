import {entryPeerSchema} from '@vanillamux/protocol';
import {rpcBuilder} from '@vanillamux/rpc';
import {z} from 'zod';
import type {EntryHostFeed} from './entry_host_feed.js';

const MAX_WAIT_MS = 30_000;

const requestSchema = z.object({
  entry: entryPeerSchema,
  peersVersion: z.number().int(),
  registryId: z.string(),
  position: z.number().int().min(0),
  version: z.number().int(),
  evacuationRevision: z.number().int().min(0).optional(),
  membersIndex: z.number().int().min(0).optional(),
  knownBackends: z.record(z.string(), z.number().int().min(0)).optional(),
  waitMs: z.number().int().min(0).max(MAX_WAIT_MS),
  readsPacked: z.boolean().optional(),
});

/** Entry hosts of earlier builds send nothing. */
const documentRequestSchema = z.object({readsPacked: z.boolean()}).optional();

/** Creates the routes by which entry hosts poll for changes. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createFeedRouter(feed: EntryHostFeed) {
  const {procedure, router} = rpcBuilder;
  return router({
    wait: procedure
      .input(requestSchema)
      .query(({input}) => feed.waitForUpdate(input)),
    /** The published document in the local state of this control host. */
    document: procedure
      .input(documentRequestSchema)
      .query(({input}) => feed.document(input?.readsPacked === true)),
  });
}
