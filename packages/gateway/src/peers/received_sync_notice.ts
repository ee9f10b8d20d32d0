import type {Address} from '@vanillamux/shared';
import type {SyncKind} from './sync_kind.js';

/** Notice of a host that catches up with its peers, or of a peer's reply. */
export interface ReceivedSyncNotice {
  readonly replyTo: Address;
  readonly kind: SyncKind;
}
