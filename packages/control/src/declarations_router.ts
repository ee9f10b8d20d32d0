import {checkReferences, declarationsSchema} from '@vanillamux/protocol';
import {rpcBuilder, unwrap} from '@vanillamux/rpc';
import {ErrorCodes, fail, VmuxError} from '@vanillamux/shared';
import {z} from 'zod';
import type {DeclareResult} from './command_results.js';
import {CommandKind} from './command_kind.js';
import type {DeclareCommand} from './commands.js';
import type {ControlHost} from './control_host.js';
import {DeclarationFeed} from './declaration_feed.js';
import {proposeCommand} from './propose_command.js';

const MAX_WAIT_MS = 30_000;

const declareSchema = z.object({
  commandId: z.string().min(1),
  expectedVersion: z.number().int().min(0),
  document: declarationsSchema,
  operator: z.string(),
});

const waitSchema = z.object({
  haveVersion: z.number().int().min(0),
  waitMs: z.number().int().min(0).max(MAX_WAIT_MS),
  /** Hybrid logical time of the caller, if it keeps one. */
  at: z.string().optional(),
});

/** Creates the routes for declarations. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createDeclarationsRouter(host: ControlHost) {
  const {procedure, router} = rpcBuilder;
  const feed = new DeclarationFeed(host);
  return router({
    declare: procedure.input(declareSchema).mutation(async ({input}) => {
      const [issue] = checkReferences(input.document);
      if (issue) {
        const message = `${issue.field}: expected ${issue.expected}`;
        const options = {message, field: issue.field};
        return unwrap(fail(new VmuxError(ErrorCodes.BadRequest, options)));
      }
      return unwrap(
        await proposeCommand<DeclareCommand, DeclareResult>(host.node, {
          kind: CommandKind.Declare,
          ...input,
        }),
      );
    }),
    /** The present version, confirmed by the leader. */
    current: procedure.query(async () => {
      unwrap(await host.node.confirmByLease());
      return host.stateMachine.declared.current;
    }),
    wait: procedure.input(waitSchema).query(({input}) => {
      if (input.at) host.timeline.clock.observe(input.at);
      return feed.wait(input.haveVersion, input.waitMs);
    }),
    history: procedure.query(() => [...host.stateMachine.declared.versions()]),
  });
}
