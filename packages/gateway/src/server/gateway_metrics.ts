import {addGauge} from '@vanillamux/control';
import type {UnansweredReason} from '@vanillamux/shared';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {RefusalReason} from '../admission/refusal_reason.js';
import type {RouteSpec} from '../config/route_spec.js';
import type {AttemptOutcome} from '../request/attempt_outcome.js';
import type {QuarantineEvent} from '../quarantine/quarantine_event.js';
import type {PermitVerdict} from '../request_limits/permit_verdict.js';
import type {RelayDirection} from '../relay/relay_direction.js';
import type {EndVerdict} from '../request/end_verdict.js';
import type {SilenceVerdict} from '../request/silence_verdict.js';
import type {GatewayGauges} from './gateway_gauges.js';

const MS_PER_SECOND = 1_000;
const DURATION_BUCKETS_S = [0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 3, 5, 10, 15];

/** Durations of one request, for the histograms. */
export interface RequestTimes {
  readonly durationMs: number;
  /** Time to the first event of a stream. */
  readonly firstEventMs?: number;
  /** Longest pause between two events of a stream. */
  readonly longestPauseMs?: number;
}

/**
 * Counters and histograms of an entry host. Labels are kinds of requests,
 * outcomes and services; their cardinality does not grow with the number of
 * workspaces.
 */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'vmux_gateway_requests_total',
    help: 'Requests that were matched with a route, by how they ended.',
    labelNames: ['sort', 'end'],
    registers: [this.registry],
  });
  private readonly refusals = new Counter({
    name: 'vmux_gateway_refusals_total',
    help: 'Requests that were refused before they were matched, by status.',
    labelNames: ['status'],
    registers: [this.registry],
  });
  private readonly unanswered = new Counter({
    name: 'vmux_gateway_unanswered_requests_total',
    help: 'Requests that were read and got no complete response, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  private readonly attempts = new Counter({
    name: 'vmux_gateway_attempts_total',
    help: 'Requests sent to backend servers, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly failedAttempts = new Counter({
    name: 'vmux_gateway_failed_attempts_total',
    help: 'Attempts without a whole answer, by service and how they ended.',
    labelNames: ['service', 'end'],
    registers: [this.registry],
  });
  private readonly verifiedEnds = new Counter({
    name: 'vmux_gateway_verified_ends_total',
    help: 'Bodies that only the end of a connection delimits, by service and whether the server was still there.',
    labelNames: ['service', 'verdict'],
    registers: [this.registry],
  });
  private readonly silentAttempts = new Counter({
    name: 'vmux_gateway_silent_attempts_total',
    help: 'Silent attempts beside which another one began, or none could.',
    labelNames: ['service', 'verdict'],
    registers: [this.registry],
  });
  private readonly quarantineEvents = new Counter({
    name: 'vmux_gateway_quarantine_events_total',
    help: 'Events of the quarantine of requests and prompt parts that crash backend servers.',
    labelNames: ['event'],
    registers: [this.registry],
  });
  private readonly retries = new Counter({
    name: 'vmux_gateway_repeats_total',
    help: 'Repeats that drew on the shared retry budget, or were denied by it.',
    labelNames: ['service', 'verdict'],
    registers: [this.registry],
  });
  private readonly permits = new Counter({
    name: 'vmux_gateway_permits_total',
    help: 'Permits for backend servers with a request limit, by verdict.',
    labelNames: ['verdict'],
    registers: [this.registry],
  });
  private readonly pauses = new Counter({
    name: 'vmux_gateway_pauses_total',
    help: 'Pauses that backend servers have asked this host for, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly backlogRefusals = new Counter({
    name: 'vmux_gateway_backlog_refusals_total',
    help: 'Attempts that the backlog of the engines ruled out, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly malformedRequests = new Counter({
    name: 'vmux_gateway_malformed_requests_total',
    help: 'Requests that backend servers rejected as this host wrote them, by service and status.',
    labelNames: ['service', 'status'],
    registers: [this.registry],
  });
  private readonly admissionRefusals = new Counter({
    name: 'vmux_gateway_admission_refusals_total',
    help: 'Attempts that admission ruled out, by service, priority of the route and reason.',
    labelNames: ['service', 'priority', 'reason'],
    registers: [this.registry],
  });
  private readonly relays = new Counter({
    name: 'vmux_gateway_relays_total',
    help: 'Requests that this host relayed to another entry host, or received from one.',
    labelNames: ['direction'],
    registers: [this.registry],
  });
  private readonly durations = this.createHistogram(
    'vmux_gateway_request_seconds',
    'Time from the head of a request to the end of its answer.',
  );
  private readonly firstEventTimes = this.createHistogram(
    'vmux_gateway_first_event_seconds',
    'Time from the head of a request to the first event of its stream.',
  );
  private readonly longestPauses = this.createHistogram(
    'vmux_gateway_longest_pause_seconds',
    'Longest pause between two events of a stream.',
  );

  /** Counts a request that is relayed. */
  countRelay(direction: RelayDirection): void {
    this.relays.inc({direction});
  }

  /** Registers gauges that are read when metrics are collected. */
  registerGauges(gauges: GatewayGauges): void {
    const singleGauges: Array<[string, string, () => number]> = [
      [
        'vmux_gateway_in_flight',
        'Requests that have not ended.',
        () => gauges.inFlight(),
      ],
      [
        'vmux_gateway_config_version',
        'Version of the configuration in force; -1 before the first.',
        () => gauges.configVersion(),
      ],
      [
        'vmux_gateway_config_age_seconds',
        'Time since the configuration came into force.',
        () => gauges.configAgeS(),
      ],
      [
        'vmux_gateway_quarantined_parts',
        'Prompt parts in quarantine.',
        () => gauges.quarantinedParts(),
      ],
      [
        'vmux_gateway_quarantined_requests',
        'Requests in quarantine.',
        () => gauges.quarantinedRequests(),
      ],
      [
        'vmux_gateway_limited_backends',
        'Backend servers that name a request limit.',
        () => gauges.limitedBackends(),
      ],
      [
        'vmux_gateway_leaving_backends',
        'Backend servers that have said that they leave.',
        () => gauges.leavingBackends(),
      ],
      [
        'vmux_gateway_emptied_domains',
        'Failure domains that an operator has emptied.',
        () => gauges.emptiedDomains(),
      ],
      [
        'vmux_gateway_cold_backends',
        'Backend servers that are cold.',
        () => gauges.coldBackends(),
      ],
      [
        'vmux_gateway_failing_backends',
        'Backend servers that fail more requests than others of their service.',
        () => gauges.failingBackends(),
      ],
      [
        'vmux_gateway_lost_services',
        'Services none of whose backend servers this host reaches.',
        () => gauges.lostServices(),
      ],
      [
        'vmux_gateway_cut_off_peers',
        'Entry hosts that have said, or shown, that they have lost a service.',
        () => gauges.cutOffPeers(),
      ],
      [
        'vmux_gateway_control_hosts',
        'Control hosts that answer.',
        () => gauges.controlHosts(),
      ],
      [
        'vmux_gateway_held_request_bytes',
        'Bytes of bodies of requests that are kept.',
        () => gauges.heldRequestBytes(),
      ],
      [
        'vmux_gateway_held_response_bytes',
        'Bytes of bodies of responses that are kept.',
        () => gauges.heldResponseBytes(),
      ],
      [
        'vmux_gateway_bodies_without_room',
        'Bodies given up since the start for want of room.',
        () => gauges.bodiesWithoutRoom(),
      ],
      [
        'vmux_gateway_record_waiting',
        'Entries of the record that no control host has confirmed.',
        () => gauges.unacknowledgedEntries(),
      ],
    ];
    for (const [name, help, read] of singleGauges) {
      addGauge(this.registry, name, help, read);
    }
    this.registerBackendGauge(gauges);
  }

  /** Observes the outcome and the durations of a request. */
  observeRequest(
    route: RouteSpec,
    end: AttemptOutcome,
    times: RequestTimes,
  ): void {
    const sort = route.isStream ? 'stream' : route.retryPolicy;
    const labels = {sort, end};
    const {durationMs, firstEventMs, longestPauseMs} = times;
    this.requests.inc(labels);
    this.durations.observe(labels, durationMs / MS_PER_SECOND);
    if (firstEventMs !== undefined) {
      this.firstEventTimes.observe(labels, firstEventMs / MS_PER_SECOND);
    }
    if (longestPauseMs !== undefined) {
      this.longestPauses.observe(labels, longestPauseMs / MS_PER_SECOND);
    }
  }

  /** Counts a request that was refused before it was matched with a route. */
  countRefusal(status: number): void {
    this.refusals.inc({status});
  }

  /** Counts a request that was read and got no complete response. */
  countUnanswered(reason: UnansweredReason): void {
    this.unanswered.inc({reason});
  }

  /** Counts a request that was sent to a backend server. */
  countAttempt(service: string): void {
    this.attempts.inc({service});
  }

  /** Counts an attempt that ended without a complete response. */
  countFailedAttempt(service: string, end: AttemptOutcome): void {
    this.failedAttempts.inc({service, end});
  }

  /** Counts a body whose end was verified. */
  countVerifiedEnd(service: string, verdict: EndVerdict): void {
    this.verifiedEnds.inc({service, verdict});
  }

  /** Counts an event of the quarantine of suspects. */
  countQuarantineEvent(event: QuarantineEvent): void {
    this.quarantineEvents.inc({event});
  }

  /** Counts a silent attempt by what followed. */
  countSilentAttempt(service: string, verdict: SilenceVerdict): void {
    this.silentAttempts.inc({service, verdict});
  }

  /** Counts a retry that the shared retry budget granted or denied. */
  countRetry(service: string, isGranted: boolean): void {
    this.retries.inc({service, verdict: isGranted ? 'granted' : 'denied'});
  }

  /** Counts a permit that a request to a limited backend server required. */
  countPermit(verdict: PermitVerdict): void {
    this.permits.inc({verdict});
  }

  /** Counts an attempt that admission ruled out. */
  countAdmissionRefusal(
    service: string,
    priority: number,
    reason: RefusalReason,
  ): void {
    this.admissionRefusals.inc({service, priority, reason});
    if (reason === RefusalReason.Backlog) this.backlogRefusals.inc({service});
  }

  /** Counts a request that a backend server rejected as this host wrote it. */
  countMalformedRequest(service: string, status: number): void {
    this.malformedRequests.inc({service, status});
  }

  /** Counts a pause that a backend server has asked for. */
  countPause(service: string): void {
    this.pauses.inc({service});
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string> {
    return this.registry.metrics();
  }

  private registerBackendGauge(gauges: GatewayGauges): void {
    new Gauge({
      name: 'vmux_gateway_backends',
      help: 'Backend servers by service, believed state and whether requests avoid them.',
      labelNames: ['service', 'state', 'paused'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const {service, state, isEjected} of gauges.backends()) {
          this.inc({service, state, paused: String(isEjected)});
        }
      },
    });
  }

  private createHistogram(
    name: string,
    help: string,
  ): Histogram<'sort' | 'end'> {
    return new Histogram({
      name,
      help,
      labelNames: ['sort', 'end'],
      buckets: DURATION_BUCKETS_S,
      registers: [this.registry],
    });
  }
}
