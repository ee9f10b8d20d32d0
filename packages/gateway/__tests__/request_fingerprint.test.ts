import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RequestFingerprint} from '../src/request/request_fingerprint.js';

const REQUEST = {
  method: 'POST',
  path: '/read/x?a=1',
  workspace: 'desk',
  body: Buffer.from('body'),
};

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly fields: Partial<typeof REQUEST>;
  readonly isSame: boolean;
}> = [
  {name: 'the same request', fields: {}, isSame: true},
  {name: 'another method', fields: {method: 'PUT'}, isSame: false},
  {name: 'another query', fields: {path: '/read/x?a=2'}, isSame: false},
  {name: 'another workspace', fields: {workspace: 'other'}, isSame: false},
  {name: 'another body', fields: {body: Buffer.from('b')}, isSame: false},
  {
    name: 'bytes that move between path and body',
    fields: {path: '/read/x?a=', body: Buffer.from('1body')},
    isSame: false,
  },
];

describe('RequestFingerprint', () => {
  for (const {name, fields, isSame} of CASES) {
    it(`${isSame ? 'is the same for' : 'differs for'} ${name}`, () => {
      const [digest, other] = [REQUEST, {...REQUEST, ...fields}].map(
        request => new RequestFingerprint(request).digest,
      );
      assert.equal(digest === other, isSame);
    });
  }
});
