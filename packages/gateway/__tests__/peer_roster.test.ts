import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EntryPeer} from '@vanillamux/protocol';
import {PeerRoster} from '../src/peers/peer_roster.js';

function peers(count: number): EntryPeer[] {
  return Array.from({length: count}, (_, index) => ({
    id: `entry-${index}`,
    failureDomain: 'fd-a',
    address: {host: '10.0.0.1', port: index},
  }));
}

const LATER_MS = 5_000;

interface Contact {
  readonly controlHost: string;
  readonly peers?: EntryPeer[];
  readonly atMs: number;
}

const CASES: Array<{
  readonly name: string;
  readonly contacts: readonly Contact[];
  readonly count: number;
}> = [
  {name: 'no response', contacts: [], count: 0},
  {
    name: 'a shorter list of a control host that has just started',
    contacts: [
      {controlHost: 'a', peers: peers(6), atMs: 0},
      {controlHost: 'b', peers: peers(1), atMs: 100},
    ],
    count: 6,
  },
  {
    name: 'a response without a list',
    contacts: [
      {controlHost: 'a', peers: peers(6), atMs: 0},
      {controlHost: 'a', atMs: 15_000},
    ],
    count: 6,
  },
  {
    name: 'a minute without a response',
    contacts: [
      {controlHost: 'a', peers: peers(6), atMs: 0},
      {controlHost: 'b', peers: peers(0), atMs: 60_000},
    ],
    count: 6,
  },
  {
    name: 'the timeout of a control host with a longer list',
    contacts: [
      {controlHost: 'a', peers: peers(6), atMs: 0},
      {controlHost: 'b', peers: peers(4), atMs: 15_000},
    ],
    count: 4,
  },
];

describe('PeerRoster', () => {
  for (const {name, contacts, count} of CASES) {
    it(`lists ${count} entry hosts after ${name}`, () => {
      const roster = new PeerRoster();
      for (const {controlHost, peers: listed, atMs} of contacts) {
        roster.update(controlHost, listed, atMs);
      }
      const lastMs = contacts.at(-1)?.atMs ?? 0;
      assert.equal(roster.current(lastMs + LATER_MS).length, count);
    });
  }
});
