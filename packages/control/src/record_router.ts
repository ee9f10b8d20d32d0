import {recordEntrySchema, type RecordEntry} from '@vanillamux/protocol';
import {rpcBuilder, unwrap} from '@vanillamux/rpc';
import {z} from 'zod';
import type {ControlHost} from './control_host.js';
import {recordQuerySchema} from './record_query_schema.js';

const MAX_BATCH_ENTRIES = 2_048;

type RecordQuery = z.infer<typeof recordQuerySchema>;

/** Creates the routes for the record that this host keeps. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createRecordRouter({record}: ControlHost) {
  const {procedure, router} = rpcBuilder;
  return router({
    append: procedure
      .input(z.array(recordEntrySchema).max(MAX_BATCH_ENTRIES))
      .mutation(async ({input}) => {
        unwrap(await record.append(input));
      }),
    query: procedure
      .input(recordQuerySchema)
      .query(({input}) =>
        record.query(entry => matchesQuery(entry, input), input.limit),
      ),
  });
}

function matchesQuery(entry: RecordEntry, query: RecordQuery): boolean {
  const {limit: _limit, ...fields} = query;
  return Object.entries(fields).every(
    ([name, value]) =>
      value === undefined || entry[name as keyof RecordEntry] === value,
  );
}
