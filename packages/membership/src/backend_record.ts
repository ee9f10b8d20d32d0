import type {Announcement} from '@vanillamux/protocol';

/** What an entry host knows of one backend server. */
export interface BackendRecord {
  readonly announcement: Announcement;
  /** Monotonic time at which the announcement was made, as far as known. */
  readonly announcedMs: number;
  /** Monotonic time at which the lease ends. */
  readonly leaseExpiresMs: number;
}
