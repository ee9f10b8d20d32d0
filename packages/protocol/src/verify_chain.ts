import type {ChainFault} from './chain_fault.js';
import {EMPTY_CHAIN_HASH, hashRecordEntry} from './hash_record_entry.js';
import type {RecordEntry} from './record_entry.js';

/**
 * Checks the entries of one chain, in any order and possibly repeated: every
 * sequence number from 0 on is there, every hash fits its entry and every
 * entry follows the one before it.
 */
export function verifyChain(entries: readonly RecordEntry[]): ChainFault[] {
  const ordered = entries
    .slice()
    .sort((a, b) => a.sequence - b.sequence || (a.hash < b.hash ? -1 : 1));
  const faults: ChainFault[] = [];
  let expected = 0;
  let previousHash = EMPTY_CHAIN_HASH;
  let before: RecordEntry | undefined;
  for (const entry of ordered) {
    const {chain, sequence} = entry;
    const report = (reason: string) => faults.push({chain, sequence, reason});
    if (before?.sequence === sequence) {
      if (before.hash !== entry.hash) report('two different entries');
      continue;
    }
    if (sequence > expected) {
      const last = sequence - 1;
      report(`entries ${expected} to ${last} are missing before this one`);
    } else if (entry.previousHash !== previousHash) {
      report('does not follow the entry before it');
    }
    if (hashRecordEntry(entry) !== entry.hash) report('does not fit its hash');
    expected = sequence + 1;
    previousHash = entry.hash;
    before = entry;
  }
  return faults;
}
