import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {EventBus, sleep} from '@vanillamux/shared';
import type {PeerFacts} from '../src/peers/peer_facts.js';
import {PeerReach} from '../src/reach/peer_reach.js';
import type {ReachChange} from '../src/reach/reach_change.js';
import type {ReceivedReachNotice} from '../src/reach/received_reach_notice.js';

const SERVICE = 'notes';
const SYNC_INTERVAL_MS = 1_000;
const SYNC_RECEIVERS = 3;
/** Above the delay after which a notice casts doubt. */
const SPREAD_MS = 300;
const WATCHED_MS = 600_000;

/** What one host knows of another, the only one that loses the service. */
class Pair {
  nowMs = 0;
  /** Services on which notices have cast doubt at the receiver. */
  readonly doubts: string[] = [];
  private readonly received = new EventBus<ReceivedReachNotice>();
  private readonly changes = new EventBus<ReachChange>();
  private lost: string[] = [];
  private readonly sender: PeerReach;
  readonly receiver: PeerReach;

  constructor(
    private readonly peerCount: number,
    private readonly isDelivered: () => boolean = () => true,
  ) {
    const idle = {
      changes: () => new EventBus<ReachChange>().stream(),
      lostServices: () => [],
      doubt: (service: string) => void this.doubts.push(service),
    };
    const now = (): number => this.nowMs;
    const broadcastFacts = (facts: PeerFacts): void => this.deliver(facts);
    this.sender = new PeerReach({
      notices: {
        broadcastFacts,
        reachNotices: () => new EventBus<ReceivedReachNotice>().stream(),
        peerCount,
      },
      reach: {
        changes: () => this.changes.stream(),
        lostServices: () => this.lost,
        doubt: () => undefined,
      },
      now,
    });
    this.receiver = new PeerReach({
      notices: {
        broadcastFacts: () => undefined,
        reachNotices: () => this.received.stream(),
        peerCount,
      },
      reach: idle,
      now,
    });
  }

  async change(lost: string[]): Promise<void> {
    this.lost = lost;
    this.changes.emit({service: SERVICE, isLost: lost.length > 0});
    await setImmediate();
  }

  /** Lets one interval of the fact sync pass in which the receiver has its turn. */
  async passCycle(): Promise<void> {
    const cycle = Math.ceil(this.peerCount / SYNC_RECEIVERS);
    this.nowMs += cycle * SYNC_INTERVAL_MS;
    const facts = this.sender.takeFacts();
    if (facts) this.deliver(facts);
    await setImmediate();
  }

  private deliver({reach}: PeerFacts): void {
    if (!this.isDelivered()) return;
    this.received.emit({from: 'sender', notice: {lost: [...reach!.lost]}});
  }
}

for (const hosts of [2, 4, 36, 64, 200, 400]) {
  describe(`among ${hosts} hosts, a lost service`, () => {
    it('stays known to each peer for as long as it is lost', async () => {
      const pair = new Pair(hosts - 1);
      await setImmediate();
      await pair.change([SERVICE]);
      while (pair.nowMs < WATCHED_MS) {
        assert.ok(pair.receiver.hasLost('sender', SERVICE), `${pair.nowMs} ms`);
        await pair.passCycle();
      }
    });

    for (const lostNotices of [0, 1, 3, 100]) {
      it(`is known to nobody five cycles after it is back, ${lostNotices} notices of that lost`, async () => {
        let toLose = 0;
        const pair = new Pair(hosts - 1, () => toLose-- <= 0);
        await setImmediate();
        await pair.change([SERVICE]);
        toLose = lostNotices;
        await pair.change([]);
        for (let cycle = 0; cycle < 5; cycle++) await pair.passCycle();
        assert.ok(!pair.receiver.hasLost('sender', SERVICE));
      });
    }

    it('ends when its host has died', async () => {
      const pair = new Pair(hosts - 1);
      await setImmediate();
      await pair.change([SERVICE]);
      assert.equal(pair.receiver.size, 1);
      pair.nowMs += WATCHED_MS;
      assert.ok(!pair.receiver.hasLost('sender', SERVICE));
      assert.equal(pair.receiver.size, 0);
    });
  });
}

describe('a notice of a peer that has lost a service', () => {
  it('casts doubt on it, once for all notices of a second', async () => {
    const pair = new Pair(3);
    await setImmediate();
    await pair.change([SERVICE]);
    await pair.passCycle();
    await sleep(SPREAD_MS);
    assert.deepEqual(pair.doubts, [SERVICE]);
    await pair.change([]);
    await pair.change([SERVICE]);
    await pair.change([]);
    await pair.change([SERVICE]);
    await sleep(SPREAD_MS);
    assert.deepEqual(pair.doubts, [SERVICE, SERVICE]);
  });
});

describe('what a host believes of a peer', () => {
  it('follows the refusals and the responses of the peer', () => {
    const {receiver} = new Pair(3);
    receiver.recordLost('sender', SERVICE);
    receiver.recordLost('sender', 'claims');
    assert.ok(receiver.hasLost('sender', SERVICE));
    receiver.recordReached('sender', SERVICE);
    assert.ok(!receiver.hasLost('sender', SERVICE));
    assert.ok(receiver.hasLost('sender', 'claims'));
    assert.ok(!receiver.hasLost('another', SERVICE));
  });

  it('has an age', () => {
    const pair = new Pair(3);
    assert.equal(pair.receiver.statementAgeMs('sender'), Infinity);
    pair.receiver.recordLost('sender', SERVICE);
    pair.nowMs += 500;
    assert.equal(pair.receiver.statementAgeMs('sender'), 500);
  });
});
