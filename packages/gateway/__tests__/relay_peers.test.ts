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
  readonly cutOff?: readonly string[];
  /** Age of what the peers that are cut off have said. */
  readonly ageMs?: number;
  readonly referral?: string;
  readonly mayAskAgain?: boolean;
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
    cutOff: ['near'],
    expected: 'far',
  },
  {name: 'that has not lost the service', cutOff: ['near'], expected: 'far'},
  {name: 'that is still there', left: 'near', expected: 'far'},
  {
    name: 'if any is left',
    excluded: 'near',
    cutOff: ['far'],
    expected: undefined,
  },
  {name: 'that another one has named', referral: 'far', expected: 'far'},
  {
    name: 'that another one has named although it was cut off',
    referral: 'far',
    cutOff: ['far'],
    expected: 'far',
  },
  {
    name: 'that another one has named unless it was tried',
    referral: 'far',
    excluded: 'far',
    expected: 'near',
  },
  {
    name: 'that was cut off a second ago if all were',
    cutOff: ['near', 'far'],
    ageMs: 1_000,
    mayAskAgain: true,
    expected: 'near',
  },
  {
    name: 'that was cut off a second ago, once',
    cutOff: ['near', 'far'],
    ageMs: 1_000,
    expected: undefined,
  },
  {
    name: 'unless all were cut off just now',
    cutOff: ['near', 'far'],
    mayAskAgain: true,
    expected: undefined,
  },
];

describe('a request is relayed by a peer', () => {
  for (const {name, expected, ...given} of CASES) {
    it(name, () => {
      const peers = new RelayPeers({
        id: 'self',
        failureDomain: 'fd-a',
        peerReach: {
          hasLost: id => given.cutOff?.includes(id) ?? false,
          statementAgeMs: () => given.ageMs ?? 0,
          recordLost: () => undefined,
          recordReached: () => undefined,
        },
        random: () => 0,
      });
      peers.update(PEERS);
      for (const {id} of PEERS.slice(1)) {
        const choice = peers.choose({
          service: SERVICE,
          isExcluded: ({presence}) => presence.id !== id,
          mayAskAgain: false,
          nowMs: 0,
        });
        if (!choice) continue;
        choice.backend.inFlight = given.busy?.[id] ?? 0;
        if (id === given.ejected) choice.backend.failures.eject(0);
      }
      const left = peers.update(PEERS.filter(({id}) => id !== given.left));
      assert.deepEqual(
        left.map(({presence}) => presence.id),
        given.left ? [given.left] : [],
      );
      const decision = peers.choose({
        service: SERVICE,
        isExcluded: ({presence}) => presence.id === given.excluded,
        referral: given.referral,
        mayAskAgain: given.mayAskAgain ?? false,
        nowMs: 0,
      });
      assert.equal(decision?.backend.presence.id, expected);
      assert.equal(decision?.isRelay, expected && true);
    });
  }
});

describe('a peer is named to another one', () => {
  const createPeers = (cutOff: string[]): RelayPeers => {
    const peers = new RelayPeers({
      id: 'self',
      failureDomain: 'fd-a',
      peerReach: {
        hasLost: id => cutOff.includes(id),
        statementAgeMs: () => Infinity,
        recordLost: () => undefined,
        recordReached: () => undefined,
      },
      random: () => 0,
    });
    peers.update(PEERS);
    return peers;
  };

  it('once a request was answered by way of it, until it is cut off', () => {
    const cutOff: string[] = [];
    const peers = createPeers(cutOff);
    const query = {isExcluded: () => false, mayAskAgain: false, nowMs: 0};
    const near = peers.choose({...query, service: SERVICE})!.backend;
    assert.equal(peers.referral(SERVICE, 'far'), undefined);
    peers.recordAnswer(near, SERVICE);
    assert.equal(peers.referral(SERVICE, 'far'), 'near');
    assert.equal(peers.referral(SERVICE, 'near'), undefined);
    assert.equal(peers.referral('another service', 'far'), undefined);
    cutOff.push('near');
    assert.equal(peers.referral(SERVICE, 'far'), undefined);
    cutOff.pop();
    peers.recordLost(near, SERVICE);
    assert.equal(peers.referral(SERVICE, 'far'), undefined);
  });
});
