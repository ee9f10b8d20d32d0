import type {ChainCorruption} from './chain_corruption.js';
import {EMPTY_CHAIN_HASH, hashRecordEntry} from './hash_record_entry.js';
import type {RecordEntry} from './record_entry.js';

/**
 * Checks the entries of one chain, in any order and possibly repeated: every
 * sequence number from 0 on is there, every hash fits its entry and every
 * entry follows the one before it.
 */
export function verifyChain(
  entries: readonly RecordEntry[],
): ChainCorruption[] {
  const ordered = entries
    .slice()
    .sort((a, b) => a.sequence - b.sequence || (a.hash < b.hash ? -1 : 1));
  const corruptions: ChainCorruption[] = [];
  let nextSequence = 0;
  let previousHash = EMPTY_CHAIN_HASH;
  let previousEntry: RecordEntry | undefined;
  for (const entry of ordered) {
    const {chain, sequence} = entry;
    const addCorruption = (reason: string) =>
      corruptions.push({chain, sequence, reason});
    if (previousEntry?.sequence === sequence) {
      if (previousEntry.hash !== entry.hash)
        addCorruption('two different entries');
      continue;
    }
    if (sequence > nextSequence) {
      const last = sequence - 1;
      addCorruption(
        `entries ${nextSequence} to ${last} are missing before this one`,
      );
    } else if (entry.previousHash !== previousHash) {
      addCorruption('does not follow the entry before it');
    }
    if (hashRecordEntry(entry) !== entry.hash)
      addCorruption('does not fit its hash');
    nextSequence = sequence + 1;
    previousHash = entry.hash;
    previousEntry = entry;
  }
  return corruptions;
}
