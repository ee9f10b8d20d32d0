import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {readRelayRefusal} from '../src/relay/read_relay_refusal.js';
import {relayRefusalHeaders} from '../src/relay/relay_refusal_headers.js';

const CASES = [
  {
    name: 'a host that knows no other',
    headers: relayRefusalHeaders(undefined),
    expected: {hasLostService: true},
  },
  {
    name: 'a host that knows another',
    headers: relayRefusalHeaders('gâteway 2'),
    expected: {hasLostService: true, referral: 'gâteway 2'},
  },
  {
    name: 'a host of an older version',
    headers: {'vmux-relay-outcome': 'not_sent'},
    expected: {hasLostService: false},
  },
  {
    name: 'a host of a later version, which names others in its own way',
    headers: {'vmux-relay-lost': '1', 'vmux-relay-referral': '%zz'},
    expected: {hasLostService: true},
  },
];

describe('the refusal of a relayed request', () => {
  for (const {name, headers, expected} of CASES) {
    it(`of ${name} is understood`, () => {
      assert.deepEqual(readRelayRefusal(headers), expected);
    });
  }
});
