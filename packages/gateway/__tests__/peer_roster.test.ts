import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EntryPeer} from '@vanillamux/protocol';
import {PeerRoster} from '../src/peers/peer_roster.js';

function peers(count: number): EntryPeer[] {
  return Array.from({length: count}, (_, at) => ({
    id: `entry-${at}`,
    failureDomain: 'fd-a',
    address: {host: '10.0.0.1', port: at},
  }));
}

const LATER_MS = 5_000;

interface Heard {
  readonly control: string;
  readonly peers?: EntryPeer[];
  readonly atMs: number;
}

const CASES: Array<{
  readonly name: string;
  readonly heard: readonly Heard[];
  readonly count: number;
}> = [
  {name: 'no response', heard: [], count: 0},
  {
    name: 'a shorter list of a control host that has just started',
    heard: [
      {control: 'a', peers: peers(6), atMs: 0},
      {control: 'b', peers: peers(1), atMs: 100},
    ],
    count: 6,
  },
  {
    name: 'a response without a list',
    heard: [
      {control: 'a', peers: peers(6), atMs: 0},
      {control: 'a', atMs: 15_000},
    ],
    count: 6,
  },
  {
    name: 'the timeout of a control host with a longer list',
    heard: [
      {control: 'a', peers: peers(6), atMs: 0},
      {control: 'b', peers: peers(4), atMs: 15_000},
    ],
    count: 4,
  },
];

describe('PeerRoster', () => {
  for (const {name, heard, count} of CASES) {
    it(`lists ${count} entry hosts after ${name}`, () => {
      const roster = new PeerRoster();
      for (const {control, peers: listed, atMs} of heard) {
        roster.note(control, listed, atMs);
      }
      const lastMs = heard.at(-1)?.atMs ?? 0;
      assert.equal(roster.current(lastMs + LATER_MS).length, count);
    });
  }
});
