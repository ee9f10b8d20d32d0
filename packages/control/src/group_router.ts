import {memberSchema} from '@vanillamux/consensus';
import {rpcBuilder, unwrap} from '@vanillamux/rpc';
import {z} from 'zod';
import type {ControlHost} from './control_host.js';
import type {MembershipManager} from './membership_manager.js';

/** Creates the routes for the members of the group and the timeline. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createGroupRouter(
  host: ControlHost,
  membershipManager: MembershipManager,
) {
  const {procedure, router} = rpcBuilder;
  return router({
    formation: procedure.query(() => host.formationStatus()),
    form: procedure.input(z.array(memberSchema)).mutation(async ({input}) => {
      await host.formGroup(input);
      return host.formationStatus();
    }),
    /** Stores a host's request to be added by the leader. */
    join: procedure
      .input(memberSchema)
      .mutation(({input}) => unwrap(membershipManager.requestJoin(input))),
    add: procedure
      .input(memberSchema)
      .mutation(({input}) => unwrap(membershipManager.requestAdd(input))),
    remove: procedure
      .input(z.object({memberId: z.string()}))
      .mutation(async ({input}) => {
        unwrap(await membershipManager.remove(input.memberId));
      }),
    /** Stores that a member's host stops; tells what becomes of the member. */
    leave: procedure
      .input(z.object({memberId: z.string()}))
      .mutation(({input}) =>
        unwrap(membershipManager.requestLeave(input.memberId)),
      ),
    status: procedure.query(() => host.node.status()),
    events: procedure.query(() => host.timeline.events()),
  });
}
