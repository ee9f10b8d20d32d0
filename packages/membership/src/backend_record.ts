import type {Announcement} from '@vanillamux/protocol';

/** Latest announcement of a backend server, as an entry host knows it. */
export interface BackendRecord {
  readonly announcement: Announcement;
  /** Monotonic time of the announcement, estimated from its reported age. */
  readonly announcedMs: number;
  /** Monotonic time at which the lease expires. */
  readonly leaseExpiresMs: number;
}
