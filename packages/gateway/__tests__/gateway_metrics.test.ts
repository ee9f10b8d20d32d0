import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';
import {PresenceState} from '@vanillamux/protocol';
import {UnansweredReason} from '@vanillamux/shared';
import {RefusalReason} from '../src/admission/refusal_reason.js';
import {AttemptOutcome} from '../src/request/attempt_outcome.js';
import {PermitVerdict} from '../src/request_limits/permit_verdict.js';
import {EndVerdict} from '../src/request/end_verdict.js';
import {GatewayMetrics} from '../src/server/gateway_metrics.js';
import {createRoute} from './create_config.js';

const PAGE = fileURLToPath(
  new URL('../../../../docs/operators/metrics.md', import.meta.url),
);

/** Renders the metrics after one request of each kind. */
async function render(): Promise<string> {
  const metrics = new GatewayMetrics();
  metrics.registerGauges({
    inFlight: () => 3,
    quarantinedParts: () => 1,
    limitedBackends: () => 1,
    leavingBackends: () => 1,
    emptiedDomains: () => 1,
    coldBackends: () => 1,
    failingBackends: () => 1,
    lostServices: () => 0,
    cutOffPeers: () => 0,
    quarantinedRequests: () => 1,
    configVersion: () => 7,
    configAgeS: () => 1.5,
    controlHosts: () => 2,
    heldRequestBytes: () => 10,
    heldResponseBytes: () => 11,
    bodiesWithoutRoom: () => 12,
    unacknowledgedEntries: () => 9,
    backends: () => [
      {service: 'notes', state: PresenceState.Ready, isEjected: false},
      {service: 'notes', state: PresenceState.Ready, isEjected: false},
      {service: 'notes', state: PresenceState.Draining, isEjected: true},
    ],
  });
  metrics.observeRequest(
    createRoute({isStream: true}),
    AttemptOutcome.Completed,
    {
      durationMs: 900,
      firstEventMs: 120,
      longestPauseMs: 60,
    },
  );
  metrics.observeRequest(createRoute({}), AttemptOutcome.Incomplete, {
    durationMs: 40,
  });
  metrics.countRefusal(503);
  metrics.countUnanswered(UnansweredReason.Stopped);
  metrics.countVerifiedEnd('notes', EndVerdict.Whole);
  metrics.countAttempt('notes');
  metrics.countFailedAttempt('notes', AttemptOutcome.NotRun);
  metrics.countRetry('notes', false);
  metrics.countPermit(PermitVerdict.Denied);
  metrics.countAdmissionRefusal('notes', 2, RefusalReason.Price);
  metrics.countAdmissionRefusal('notes', 1, RefusalReason.Backlog);
  metrics.countMalformedRequest('notes', 431);
  return metrics.render();
}

const LINES = [
  'vmux_gateway_admission_refusals_total{service="notes",priority="2",reason="price"} 1',
  'vmux_gateway_backlog_refusals_total{service="notes"} 1',
  'vmux_gateway_permits_total{verdict="denied"} 1',
  'vmux_gateway_malformed_requests_total{service="notes",status="431"} 1',
  'vmux_gateway_limited_backends 1',
  'vmux_gateway_quarantined_requests 1',
  'vmux_gateway_requests_total{sort="stream",end="delivered"} 1',
  'vmux_gateway_requests_total{sort="idempotent",end="broken"} 1',
  'vmux_gateway_refusals_total{status="503"} 1',
  'vmux_gateway_failed_attempts_total{service="notes",end="not_run"} 1',
  'vmux_gateway_repeats_total{service="notes",verdict="denied"} 1',
  'vmux_gateway_first_event_seconds_bucket{le="0.1",sort="stream",end="delivered"} 0',
  'vmux_gateway_first_event_seconds_bucket{le="0.2",sort="stream",end="delivered"} 1',
  'vmux_gateway_longest_pause_seconds_bucket{le="0.1",sort="stream",end="delivered"} 1',
  'vmux_gateway_in_flight 3',
  'vmux_gateway_config_version 7',
  'vmux_gateway_config_age_seconds 1.5',
  'vmux_gateway_control_hosts 2',
  'vmux_gateway_record_waiting 9',
  'vmux_gateway_backends{service="notes",state="ready",paused="false"} 2',
  'vmux_gateway_backends{service="notes",state="draining",paused="true"} 1',
];

describe('GatewayMetrics', () => {
  for (const line of LINES) {
    it(`shows ${line}`, async () => {
      const lines = (await render()).split('\n');
      assert.ok(lines.includes(line), lines.join('\n'));
    });
  }

  it('shows the metrics that the operators page lists, and no others', async () => {
    const shown = [...(await render()).matchAll(/^# TYPE (\S+)/gm)];
    const page = readFileSync(PAGE, 'utf8');
    const listed = [...page.matchAll(/^\| `(vmux_gateway_\w+)`/gm)];
    const names = (found: RegExpMatchArray[]) =>
      found.map(([, name]) => name).sort();
    assert.deepEqual(names(shown), names(listed));
  });
});
