import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {z} from 'zod';
import {MemberRole} from '../src/index.js';
import {memberSchema} from '../src/member_schema.js';
import {messageSchemas} from '../src/message_schemas.js';

const member = {
  id: 'a/1',
  hostId: 'a',
  failureDomain: 'fd',
  address: {host: '127.0.0.1', port: 1},
  role: MemberRole.Voter,
};
/** Member as builds before the size of the group was recorded read it. */
const earlierSchema = memberSchema.omit({groupSize: true});

const CASES = [
  {
    name: 'an earlier build reads a member with the size of the group',
    schema: earlierSchema,
    sent: {...member, groupSize: 6},
    expected: member,
  },
  {
    name: 'this build reads a member of an earlier build',
    schema: memberSchema,
    sent: member,
    expected: member,
  },
  {
    name: 'this build reads the size of the group',
    schema: memberSchema,
    sent: {...member, groupSize: 6},
    expected: {...member, groupSize: 6},
  },
];

// Members of an earlier build run beside those of this one during an update.
describe('the list of members', () => {
  for (const {name, schema, sent, expected} of CASES) {
    it(name, () => {
      const stored: unknown = JSON.parse(JSON.stringify([sent]));
      assert.deepEqual(z.array(schema).parse(stored), [expected]);
    });
  }

  it('keeps the size of the group in a snapshot', () => {
    const {members} = messageSchemas.snapshot.parse({
      term: 1,
      leaderId: 'a/1',
      lastIndex: 1,
      lastTerm: 1,
      members: [{...member, groupSize: 6}],
      offset: 0,
      chunk: '',
      done: true,
    });
    assert.equal(members[0]?.groupSize, 6);
  });
});
