import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PublishedState, PublishVerdict} from '../src/index.js';

const {Stored, Unchanged, Conflict} = PublishVerdict;

interface Step {
  readonly version: number;
  readonly digest: string;
  readonly verdict: PublishVerdict;
}

const CASES: Array<{
  readonly name: string;
  readonly steps: readonly Step[];
  readonly inForce: string;
}> = [
  {
    name: 'higher versions replace lower ones',
    steps: [
      {version: 3, digest: 'a', verdict: Stored},
      {version: 7, digest: 'b', verdict: Stored},
    ],
    inForce: 'b',
  },
  {
    name: 'a lower version is acknowledged and changes nothing',
    steps: [
      {version: 7, digest: 'b', verdict: Stored},
      {version: 3, digest: 'a', verdict: Unchanged},
    ],
    inForce: 'b',
  },
  {
    name: 'a version that is sent again is acknowledged again',
    steps: [
      {version: 7, digest: 'b', verdict: Stored},
      {version: 7, digest: 'b', verdict: Unchanged},
    ],
    inForce: 'b',
  },
  {
    name: 'other content under the same version is refused',
    steps: [
      {version: 7, digest: 'b', verdict: Stored},
      {version: 7, digest: 'c', verdict: Conflict},
    ],
    inForce: 'b',
  },
];

describe('PublishedState', () => {
  for (const {name, steps, inForce} of CASES) {
    it(name, () => {
      const state = new PublishedState();
      for (const {version, digest, verdict} of steps) {
        const answer = state.publish({version, digest, text: digest});
        assert.equal(answer.verdict, verdict);
      }
      assert.equal(state.current?.text, inForce);
    });
  }
});
