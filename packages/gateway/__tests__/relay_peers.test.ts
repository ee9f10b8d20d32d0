import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RelayPeers} from '../src/relay/relay_peers.js';

const SERVICE = 'notes';
const PEERS = [
  ['self', 'fd-a'],
  ['near', 'fd-a'],
  ['far', 'fd-b'],
].map(([id, failureDomain], index) => ({
  id: id!,
  failureDomain: failureDomain!,
  address: {host: '127.0.0.1', port: index + 1},
}));

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly busy?: Record<string, number>;
  readonly ejected?: string;
  readonly excluded?: string;
  readonly cutOff?: string;
  readonly left?: string;
  readonly expected: string | undefined;
}> = [
  {name: 'in its failure domain', expected: 'near'},
  {name: 'that has fewer requests', busy: {near: 1}, expected: 'far'},
  {
    name: 'in its failure domain at the same load',
    busy: {near: 2, far: 2},
    expected: 'near',
  },
  {name: 'that was not tried', excluded: 'near', expected: 'far'},
  {name: 'that is not ejected', ejected: 'near', expected: 'far'},
  {
    name: 'that is ejected if there is no other',
    ejected: 'far',
    cutOff: 'near',
    expected: 'far',
  },
  {name: 'that has not lost the service', cutOff: 'near', expected: 'far'},
  {name: 'that is still there', left: 'near', expected: 'far'},
  {
    name: 'if any is left',
    excluded: 'near',
    cutOff: 'far',
    expected: undefined,
  },
];

describe('a request is relayed by a peer', () => {
  for (const {name, expected, ...given} of CASES) {
    it(name, () => {
      const peers = new RelayPeers({
        id: 'self',
        failureDomain: 'fd-a',
        peerReach: {hasLost: id => id === given.cutOff},
        random: () => 0,
      });
      peers.update(PEERS);
      for (const {id} of PEERS.slice(1)) {
        const choice = peers.choose(
          SERVICE,
          ({presence}) => presence.id !== id,
          0,
        );
        if (!choice) continue;
        choice.backend.inFlight = given.busy?.[id] ?? 0;
        if (id === given.ejected) choice.backend.failures.eject(0);
      }
      const left = peers.update(PEERS.filter(({id}) => id !== given.left));
      assert.deepEqual(
        left.map(({presence}) => presence.id),
        given.left ? [given.left] : [],
      );
      const decision = peers.choose(
        SERVICE,
        ({presence}) => presence.id === given.excluded,
        0,
      );
      assert.equal(decision?.backend.presence.id, expected);
      assert.equal(decision?.isRelay, expected && true);
    });
  }
});
