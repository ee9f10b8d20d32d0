import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PublishedState, PublishVerdict} from '../src/index.js';

const {Stored, Unchanged, Conflict} = PublishVerdict;

interface Publication {
  readonly version: number;
  readonly digest: string;
  readonly verdict: PublishVerdict;
}

const CASES: Array<{
  readonly name: string;
  readonly publications: readonly Publication[];
  readonly expectedText: string;
}> = [
  {
    name: 'higher versions replace lower ones',
    publications: [
      {version: 3, digest: 'a', verdict: Stored},
      {version: 7, digest: 'b', verdict: Stored},
    ],
    expectedText: 'b',
  },
  {
    name: 'a lower version is acknowledged and changes nothing',
    publications: [
      {version: 7, digest: 'b', verdict: Stored},
      {version: 3, digest: 'a', verdict: Unchanged},
    ],
    expectedText: 'b',
  },
  {
    name: 'a version that is sent again is acknowledged again',
    publications: [
      {version: 7, digest: 'b', verdict: Stored},
      {version: 7, digest: 'b', verdict: Unchanged},
    ],
    expectedText: 'b',
  },
  {
    name: 'other content under the same version is refused',
    publications: [
      {version: 7, digest: 'b', verdict: Stored},
      {version: 7, digest: 'c', verdict: Conflict},
    ],
    expectedText: 'b',
  },
];

describe('PublishedState', () => {
  for (const {
    name,
    publications: publications,
    expectedText: expectedText,
  } of CASES) {
    it(name, () => {
      const state = new PublishedState();
      for (const {version, digest, verdict} of publications) {
        const answer = state.publish({version, digest, text: digest});
        assert.equal(answer.verdict, verdict);
      }
      assert.equal(state.current?.text, expectedText);
    });
  }
});
