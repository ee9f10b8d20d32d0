import {createRaftRouter} from '@vanillamux/consensus';
import {rpcBuilder} from '@vanillamux/rpc';
import type {ControlHost} from './control_host.js';
import {createDeclarationsRouter} from './declarations_router.js';
import type {EntryHostFeed} from './entry_host_feed.js';
import {createEvacuationRouter} from './evacuation_router.js';
import type {Evacuator} from './evacuator.js';
import {createFeedRouter} from './feed_router.js';
import {createGroupRouter} from './group_router.js';
import type {MembershipManager} from './membership_manager.js';
import {createPublicationRouter} from './publication_router.js';
import type {Publisher} from './publisher.js';
import {createRecordRouter} from './record_router.js';
import {createRegisterRouter} from './register_router.js';

/** Objects that serve the procedures of the router. */
export interface ControlRouterDependencies {
  readonly host: ControlHost;
  readonly membershipManager: MembershipManager;
  readonly publisher: Publisher;
  readonly evacuator: Evacuator;
  readonly feed: EntryHostFeed;
}

/** Creates the RPC router of a control host. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createControlRouter(dependencies: ControlRouterDependencies) {
  const {host, membershipManager, publisher, evacuator, feed} = dependencies;
  return rpcBuilder.router({
    raft: createRaftRouter(() => host.node),
    declarations: createDeclarationsRouter(host),
    register: createRegisterRouter(host),
    record: createRecordRouter(host),
    group: createGroupRouter(host, membershipManager),
    publication: createPublicationRouter(publisher),
    evacuation: createEvacuationRouter(evacuator),
    feed: createFeedRouter(feed),
  });
}

/** Type of the RPC router, from which clients infer their calls. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
