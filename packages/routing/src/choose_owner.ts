import {createHash} from 'node:crypto';

/**
 * Chooses the owner of a key by rendezvous hashing (Thaler and Ravishankar,
 * 1998): when a host comes or goes, only its own keys move.
 */
export function chooseOwner(
  key: string,
  hosts: readonly string[],
): string | undefined {
  let owner: string | undefined;
  let highestWeight = '';
  for (const host of hosts) {
    const weight = createHash('sha256').update(`${host}\n${key}`).digest('hex');
    if (owner !== undefined && weight <= highestWeight) continue;
    owner = host;
    highestWeight = weight;
  }
  return owner;
}
