import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {sleep} from '@vanillamux/shared';
import {DiskOperation, FaultPhase} from '@vanillamux/storage';
import {TestGroup} from './test_group.js';

const IDS = ['a/1', 'b/1', 'c/1'];
/** A snapshot and a rotation every few changes. */
const OPTIONS = {snapshotEntries: 4, trailingEntries: 1};
const FULL_MS = 150;
const CHANGES = 6;

const CASES = [undefined, ...Object.values(DiskOperation)].flatMap(operation =>
  Object.values(FaultPhase).map(phase => ({operation, phase})),
);

describe('disks that are full one after another', () => {
  for (const {operation, phase} of CASES) {
    const name = operation ?? 'each operation';
    it(`leave a group that accepts changes and has lost none, ${name} fails ${phase} it runs`, async () => {
      const group = new TestGroup(Math.random, OPTIONS);
      try {
        await group.form(IDS);
        const changes: string[] = [];
        const commit = async (): Promise<void> => {
          changes.push(`change ${changes.length}`);
          await group.commit(changes.at(-1)!);
        };
        for (const id of IDS) {
          const {disk} = group.members.get(id)!;
          disk.injectFault = (operationNow, phaseNow) =>
            (!operation || operationNow === operation) && phaseNow === phase;
          for (let index = 0; index < CHANGES; index++) void commit();
          await sleep(FULL_MS);
          disk.injectFault = () => false;
          await commit();
        }
        for (const id of IDS) await group.crash(id);
        for (const id of IDS) await group.restart(id);
        await commit();
        const applied = new Set(group.leader()!.machine.commands);
        assert.deepEqual(
          changes.filter(change => !applied.has(change)),
          [],
        );
      } finally {
        await group.stop();
      }
    });
  }
});
