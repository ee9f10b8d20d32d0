import {randomUUID} from 'node:crypto';
import {succeed, type Result} from '@vanillamux/shared';
import {ChecksummedFile, type Disk} from '@vanillamux/storage';

const IDENTITY_FILE = 'identity.json';

interface DiskIdentity {
  readonly diskId: string;
}

/**
 * Returns the member id of a host: its name and an id that lives on its disk.
 * A host whose disk was lost gets another id, and so can never vote again
 * under the one whose votes it has forgotten.
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
