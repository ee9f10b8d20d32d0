import {mkdir, open, readFile, readdir, rename, rm} from 'node:fs/promises';
import {dirname, join, resolve} from 'node:path';
import {
  ErrorCodes,
  fail,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import {Disk} from './disk.js';
import type {LogFile} from './log_file.js';
import {NodeLogFile} from './node_log_file.js';

/** Options of `NodeDisk.openFolder`. */
export interface NodeDiskOptions {
  /** Delay added to each sync, to model a slower disk. */
  readonly syncDelayMs?: number;
}

/** A folder on the file system. */
export class NodeDisk extends Disk {
  private constructor(
    private readonly folder: string,
    private readonly syncDelayMs: number,
  ) {
    super();
  }

  /** Creates the folder if needed and checks that it can be written. */
  static async openFolder(
    folder: string,
    options: NodeDiskOptions = {},
  ): Promise<Result<NodeDisk>> {
    try {
      await createFolder(resolve(folder));
      const probe = join(folder, '.probe');
      const handle = await open(probe, 'w');
      await handle.close();
      await rm(probe);
    } catch (cause) {
      const code = (cause as NodeJS.ErrnoException).code;
      const message = `data folder ${folder} cannot be written (${code}); create it or set another dataFolder`;
      return fail(
        new VmuxError(ErrorCodes.DataFolderUnusable, {message, cause}),
      );
    }
    return succeed(new NodeDisk(folder, options.syncDelayMs ?? 0));
  }

  async list(): Promise<string[]> {
    return readdir(this.folder);
  }

  async read(name: string): Promise<Buffer | undefined> {
    try {
      return await readFile(join(this.folder, name));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
      throw error;
    }
  }

  async open(name: string): Promise<LogFile> {
    const handle = await open(join(this.folder, name), 'a');
    await this.syncNames();
    return new NodeLogFile(handle, this.syncDelayMs);
  }

  async replace(name: string, content: Uint8Array): Promise<void> {
    const temporary = `${name}.tmp`;
    try {
      await this.writeDurably(temporary, content);
    } catch (error) {
      // The bytes of a failed write would go on filling the disk.
      await this.remove(temporary).catch(() => undefined);
      throw error;
    }
    await this.rename(temporary, name);
  }

  async rename(from: string, to: string): Promise<void> {
    await rename(join(this.folder, from), join(this.folder, to));
    await this.syncNames();
  }

  async remove(name: string): Promise<void> {
    await rm(join(this.folder, name), {force: true});
  }

  syncNames(): Promise<void> {
    return syncFolder(this.folder);
  }

  private async writeDurably(name: string, content: Uint8Array): Promise<void> {
    const handle = await open(join(this.folder, name), 'w');
    try {
      await handle.writeFile(content);
      await handle.datasync();
    } finally {
      await handle.close();
    }
  }
}

/**
 * Creates a folder and those above it. Their names are durable once the folders
 * that hold them are synced; without that a power failure may take the folder
 * with all files in it.
 */
async function createFolder(folder: string): Promise<void> {
  const created = await mkdir(folder, {recursive: true});
  // An earlier process may have created the folder and ended before the sync.
  const topParent = dirname(created ?? folder);
  for (let parent = dirname(folder); ; parent = dirname(parent)) {
    await syncFolder(parent);
    if (parent === topParent) return;
  }
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
