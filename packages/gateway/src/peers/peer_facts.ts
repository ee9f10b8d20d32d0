import type {DepartureNotice} from '../departures/departure_notice.js';
import type {QuarantineNotice} from '../quarantine/quarantine_notice.js';
import type {ReachNotice} from '../reach/reach_notice.js';
import type {RequestLimitNotice} from '../request_limits/request_limit_notice.js';
import type {SyncKind} from './sync_kind.js';

/** Facts about backend servers and requests that hosts exchange. */
export interface PeerFacts {
  readonly quarantine?: QuarantineNotice;
  readonly limits?: RequestLimitNotice;
  readonly departures?: DepartureNotice;
  readonly reach?: ReachNotice;
  readonly sync?: SyncKind;
}
