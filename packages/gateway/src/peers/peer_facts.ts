import type {EvacuationView} from '@vanillamux/protocol';
import type {ColdNotice} from '../cold_backends/cold_notice.js';
import type {DepartureNotice} from '../departures/departure_notice.js';
import type {FailureNotice} from '../failing_backends/failure_notice.js';
import type {QuarantineNotice} from '../quarantine/quarantine_notice.js';
import type {ReachNotice} from '../reach/reach_notice.js';
import type {RequestLimitNotice} from '../request_limits/request_limit_notice.js';
import type {SyncKind} from './sync_kind.js';

/** Facts that hosts exchange about backend servers, requests and orders. */
export interface PeerFacts {
  readonly quarantine?: QuarantineNotice;
  readonly limits?: RequestLimitNotice;
  readonly departures?: DepartureNotice;
  readonly cold?: ColdNotice;
  readonly failures?: FailureNotice;
  readonly reach?: ReachNotice;
  readonly evacuation?: EvacuationView;
  readonly sync?: SyncKind;
}
