import type {Announcement} from '@vanillamux/protocol';

/** What happened to a backend server. */
export enum BackendChangeKind {
  Joined = 'joined',
  Updated = 'updated',
  Leaving = 'leaving',
  /** The lease ended. */
  Lost = 'lost',
}

/** A change in the table of backend servers. */
export interface BackendChange {
  readonly kind: BackendChangeKind;
  readonly announcement: Announcement;
}
