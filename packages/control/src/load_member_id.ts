import {randomUUID} from 'node:crypto';
import {succeed, type Result} from '@vanillamux/shared';
import {ChecksummedFile, type Disk} from '@vanillamux/storage';

const IDENTITY_FILE = 'identity.json';

interface DiskIdentity {
  readonly diskId: string;
}

/**
 * Returns the member id of a host: the host's id and a random id stored on its
 * disk. A host that lost its disk gets a new member id, because it must not
 * vote again under the id whose earlier votes are lost.
 */
export async function loadMemberId(
  disk: Disk,
  hostId: string,
): Promise<Result<string>> {
  const file = new ChecksummedFile(disk, IDENTITY_FILE);
  const fileContent = await file.read();
  if (!fileContent.ok) return fileContent;
  if (fileContent.value !== undefined) {
    const {diskId} = JSON.parse(fileContent.value) as DiskIdentity;
    return succeed(`${hostId}/${diskId}`);
  }
  const identity: DiskIdentity = {diskId: randomUUID()};
  await file.write(JSON.stringify(identity));
  return succeed(`${hostId}/${identity.diskId}`);
}
