import assert from 'node:assert/strict';
import type {IncomingHttpHeaders} from 'node:http';
import {describe, it} from 'node:test';
import {findHeadFault} from '../src/find_head_fault.js';

interface Case {
  readonly name: string;
  readonly status?: number;
  readonly headers?: IncomingHttpHeaders;
  readonly reasonPhrase?: string;
}

const SOUND: readonly Case[] = [
  {name: 'no fields'},
  {name: 'the highest status', status: 599},
  {name: 'a length', headers: {'content-length': '5'}},
  {name: 'chunks', headers: {'transfer-encoding': 'chunked'}},
  {name: 'chunks, other case', headers: {'transfer-encoding': ' Chunked '}},
  {name: 'an empty reason phrase', reasonPhrase: ''},
  {name: 'a reason phrase', reasonPhrase: 'Not\tFound (é)'},
];

const MALFORMED: readonly Case[] = [
  ...[600, 999].map(status => ({name: `status ${status}`, status})),
  ...['', 'x', 'gzip', 'identity', '"chunked"', 'x, chunked', 'chunked, x'].map(
    coding => ({
      name: `transfer coding "${coding}"`,
      headers: {'transfer-encoding': coding},
    }),
  ),
  {
    name: 'chunks twice',
    headers: {
      'transfer-encoding': ['chunked', 'chunked'],
    } as unknown as IncomingHttpHeaders,
  },
  ...[0x00, 0x01, 0x0d, 0x1f, 0x7f].map(code => ({
    name: `reason phrase with character ${code}`,
    reasonPhrase: `O${String.fromCharCode(code)}K`,
  })),
];

describe('findHeadFault', () => {
  for (const {name, status = 200, headers = {}, reasonPhrase} of SOUND) {
    it(`accepts ${name}`, () => {
      assert.equal(findHeadFault(status, headers, reasonPhrase), undefined);
    });
  }

  for (const {name, status = 200, headers = {}, reasonPhrase} of MALFORMED) {
    it(`rejects ${name}`, () => {
      assert.notEqual(findHeadFault(status, headers, reasonPhrase), undefined);
    });
  }
});
