import {randomUUID} from 'node:crypto';
import {succeed, type Result} from '@vanillamux/shared';
import {ChecksummedFile, type Disk} from '@vanillamux/storage';
import type {DiskIdentity} from './disk_identity.js';

const IDENTITY_FILE = 'identity.json';

/**
 * Returns the identity that a disk holds, or stores one on an empty disk. It
 * remembers whether any start of the host was one with `isFirstStart`.
 */
export async function loadDiskIdentity(
  disk: Disk,
  isFirstStart: boolean,
): Promise<Result<DiskIdentity>> {
  const file = new ChecksummedFile(disk, IDENTITY_FILE);
  const fileContent = await file.read();
  if (!fileContent.ok) return fileContent;
  const stored =
    fileContent.value === undefined
      ? undefined
      : (JSON.parse(fileContent.value) as DiskIdentity);
  if (stored && (stored.mayFound || !isFirstStart)) return succeed(stored);
  const identity: DiskIdentity = {
    diskId: stored?.diskId ?? randomUUID(),
    mayFound: isFirstStart,
  };
  await file.write(JSON.stringify(identity));
  return succeed(identity);
}
