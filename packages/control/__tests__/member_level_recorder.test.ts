import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Member} from '@vanillamux/consensus';
import type {ControlHost} from '../src/control_host.js';
import {MemberLevelRecorder} from '../src/member_level_recorder.js';

type Levels = Readonly<Record<string, number | undefined>>;

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly recorded: Levels;
  readonly stated: Levels;
  readonly expected?: Levels;
}> = [
  {
    name: 'members that were updated in place',
    recorded: {a: undefined, b: undefined},
    stated: {a: 1, b: 1},
    expected: {a: 1, b: 1},
  },
  {
    name: 'one of them, while another is of an earlier build',
    recorded: {a: undefined, b: undefined},
    stated: {a: 1, b: undefined},
    expected: {a: 1, b: undefined},
  },
  {
    name: 'nobody where all are of an earlier build',
    recorded: {a: undefined},
    stated: {a: undefined},
  },
  {name: 'nobody where all are recorded', recorded: {a: 1}, stated: {a: 1}},
];

function toMembers(levels: Levels): Member[] {
  return Object.entries(levels).map(
    ([id, commandLevel]) => ({id, commandLevel}) as Member,
  );
}

function toLevels(members: readonly Member[] | undefined): Levels | undefined {
  return (
    members &&
    Object.fromEntries(members.map(({id, commandLevel}) => [id, commandLevel]))
  );
}

describe('MemberLevelRecorder', () => {
  let asked = 0;

  /** A recorder, whose group is `now` once the members have stated theirs. */
  function create(
    recorded: Levels,
    stated: Levels,
    now = recorded,
  ): MemberLevelRecorder {
    asked = 0;
    const members = (): Member[] => toMembers(asked > 0 ? now : recorded);
    const node = {status: () => ({members: members()})};
    const level = {
      stated: async () => {
        asked++;
        return toMembers(stated);
      },
    };
    return new MemberLevelRecorder({node} as unknown as ControlHost, level);
  }

  for (const {name, recorded, stated, expected} of CASES) {
    it(`records ${name}`, async () => {
      const recorder = create(recorded, stated);
      assert.deepEqual(toLevels(await recorder.refresh(0)), expected);
    });
  }

  it('keeps a change of the members that is made meanwhile', async () => {
    const recorder = create({a: undefined, b: 1}, {a: 1, b: 1}, {a: undefined});
    assert.deepEqual(toLevels(await recorder.refresh(0)), {a: 1});
  });

  it('asks no more often than every 10 s, and not once all are recorded', async () => {
    const recorder = create({a: undefined}, {a: undefined});
    for (const nowMs of [0, 9_999, 10_000]) await recorder.refresh(nowMs);
    assert.equal(asked, 2);
    await create({a: 1}, {}).refresh(0);
    assert.equal(asked, 0);
  });
});
