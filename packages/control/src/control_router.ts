import {createRaftRouter} from '@vanillamux/consensus';
import {rpcBuilder} from '@vanillamux/rpc';
import type {ControlHost} from './control_host.js';
import {createDeclarationsRouter} from './declarations_router.js';
import type {EntryFeed} from './entry_feed.js';
import {createFeedRouter} from './feed_router.js';
import {createGroupRouter} from './group_router.js';
import type {MembershipManager} from './membership_manager.js';
import {createPublicationRouter} from './publication_router.js';
import type {Publisher} from './publisher.js';
import {createRecordRouter} from './record_router.js';
import {createRegisterRouter} from './register_router.js';

/** The parts of a control host that its router reaches. */
export interface ControlRouterParts {
  readonly host: ControlHost;
  readonly keeper: MembershipManager;
  readonly publisher: Publisher;
  readonly feed: EntryFeed;
}

/** Creates the router of a control host. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createControlRouter(parts: ControlRouterParts) {
  const {host, keeper, publisher, feed} = parts;
  return rpcBuilder.router({
    raft: createRaftRouter(() => host.node),
    declarations: createDeclarationsRouter(host),
    register: createRegisterRouter(host),
    record: createRecordRouter(host),
    group: createGroupRouter(host, keeper),
    publication: createPublicationRouter(publisher),
    feed: createFeedRouter(host, feed),
  });
}

/** Type of the router, for clients. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
