import type {Announcement} from '@vanillamux/protocol';

/** How the known state of a backend server changed. */
export enum BackendChangeKind {
  Joined = 'joined',
  Updated = 'updated',
  Leaving = 'leaving',
  /** The lease expired. */
  Lost = 'lost',
}

/** Change to a record of a `BackendTable`. */
export interface BackendChange {
  readonly kind: BackendChangeKind;
  readonly announcement: Announcement;
}
