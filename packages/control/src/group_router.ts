import {memberSchema} from '@vanillamux/consensus';
import {rpcBuilder, unwrap} from '@vanillamux/rpc';
import {z} from 'zod';
import type {ControlHost} from './control_host.js';
import type {MemberKeeper} from './member_keeper.js';

/** Creates the routes for the members of the group and the time line. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createGroupRouter(host: ControlHost, keeper: MemberKeeper) {
  const {procedure, router} = rpcBuilder;
  return router({
    formation: procedure.query(() => host.formation()),
    form: procedure.input(z.array(memberSchema)).mutation(async ({input}) => {
      await host.form(input);
      return host.formation();
    }),
    /** Registers a host without a group, so that the leader can add it. */
    join: procedure
      .input(memberSchema)
      .mutation(({input}) => unwrap(keeper.register(input))),
    add: procedure
      .input(memberSchema)
      .mutation(({input}) => unwrap(keeper.requestAdd(input))),
    remove: procedure
      .input(z.object({memberId: z.string()}))
      .mutation(async ({input}) => {
        unwrap(await keeper.remove(input.memberId));
      }),
    status: procedure.query(() => host.node.status()),
    events: procedure.query(() => host.timeline.events()),
  });
}
