import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import {describe, it} from 'node:test';
import {declarationsSchema} from '@vanillamux/protocol';
import {ErrorCodes} from '@vanillamux/shared';
import {authenticate} from '../src/authenticate.js';
import {DeclarationIndex} from '../src/declaration_index.js';

/** Declarations that accept no key. */
const CASES: ReadonlyArray<{readonly name: string; readonly sent: object}> = [
  {name: 'no list of workspaces', sent: {}},
  {name: 'an empty list of workspaces', sent: {workspaces: []}},
];

/** Lists of keys that a workspace cannot have. */
const MALFORMED: ReadonlyArray<{
  readonly name: string;
  readonly keys?: readonly string[];
  readonly field: string;
}> = [
  {name: 'no list of keys', field: 'workspaces.0.keys'},
  {name: 'an empty list of keys', keys: [], field: 'workspaces.0.keys'},
  {name: 'an empty key', keys: [''], field: 'workspaces.0.keys.0'},
];

describe('authenticate', () => {
  for (const {name, sent} of CASES) {
    it(`accepts no key with ${name}`, () => {
      const document = declarationsSchema.parse(sent);
      const index = new DeclarationIndex({
        version: 2,
        document,
        acceptedAtMs: 0,
        operator: 'operator',
      });
      const codes = ['Bearer any', 'Bearer ', undefined].map(authorization => {
        const headers = {authorization};
        const result = authenticate({headers} as IncomingMessage, index);
        return result.ok ? undefined : result.error.code;
      });
      const {UnknownKey, MissingKey} = ErrorCodes;
      assert.deepEqual(codes, [UnknownKey, MissingKey, MissingKey]);
    });
  }
});

describe('declarations', () => {
  for (const {name, keys, field} of MALFORMED) {
    it(`are refused if a workspace has ${name}`, () => {
      const sent = {workspaces: [{name: 'desk', keys}]};
      const result = declarationsSchema.safeParse(sent);
      assert.deepEqual(
        result.error?.issues.map(({path}) => path.join('.')),
        [field],
      );
    });
  }
});
