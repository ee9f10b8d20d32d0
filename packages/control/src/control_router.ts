import {createRaftRouter} from '@vanillamux/consensus';
import {rpcBuilder} from '@vanillamux/rpc';
import type {ControlHost} from './control_host.js';
import {createDeclarationsRouter} from './declarations_router.js';
import {createGroupRouter} from './group_router.js';
import type {MemberKeeper} from './member_keeper.js';
import {createRecordRouter} from './record_router.js';
import {createRegisterRouter} from './register_router.js';

/** Creates the router of a control host. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createControlRouter(host: ControlHost, keeper: MemberKeeper) {
  return rpcBuilder.router({
    raft: createRaftRouter(() => host.node),
    declarations: createDeclarationsRouter(host),
    register: createRegisterRouter(host),
    record: createRecordRouter(host),
    group: createGroupRouter(host, keeper),
  });
}

/** Type of the router, for clients. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
