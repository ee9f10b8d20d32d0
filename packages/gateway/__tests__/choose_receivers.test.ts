import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {chooseReceivers} from '../src/peers/choose_receivers.js';

function peer(id: string, failureDomain: string) {
  return {id, failureDomain, address: {host: id, port: 1}};
}

describe('chooseReceivers', () => {
  const peers = [
    peer('a1', 'a'),
    peer('a2', 'a'),
    peer('b1', 'b'),
    peer('b2', 'b'),
    peer('c1', 'c'),
  ];
  const CASES = [
    {random: 0, expected: ['a1', 'a2', 'b1 relays', 'c1']},
    {random: 0.9, expected: ['a1', 'a2', 'b2 relays', 'c1']},
  ];
  for (const {random: random, expected} of CASES) {
    it(`tells the own domain and one host of each other at ${random}`, () => {
      const receivers = chooseReceivers(peers, 'a', () => random);
      assert.deepEqual(
        receivers.map(({peer: to, relay}) =>
          relay ? `${to.id} relays` : to.id,
        ),
        expected,
      );
    });
  }
});
