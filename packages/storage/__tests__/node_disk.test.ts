import assert from 'node:assert/strict';
import {mkdtempSync, rmSync} from 'node:fs';
import fs from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {syncBuiltinESMExports} from 'node:module';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {NodeDisk} from '../src/index.js';

describe('a folder on the file system', () => {
  let root: string;
  let syncedFolders: string[];
  let onOpen: (handle: fs.FileHandle) => void;

  beforeEach(() => {
    root = mkdtempSync(join(tmpdir(), 'vmux-disk-'));
    syncedFolders = [];
    onOpen = () => undefined;
    const openFile = fs.open.bind(fs);
    mock.method(fs, 'open', async (...args: Parameters<typeof fs.open>) => {
      const handle = await openFile(...args);
      const sync = handle.sync.bind(handle);
      handle.sync = async () => {
        syncedFolders.push(String(args[0]));
        await sync();
      };
      onOpen(handle);
      return handle;
    });
    syncBuiltinESMExports();
  });

  afterEach(() => {
    mock.restoreAll();
    syncBuiltinESMExports();
    rmSync(root, {recursive: true});
  });

  const CASES = [
    {name: 'a folder', path: ['group'], parents: [[]]},
    {name: 'folders', path: ['data', 'group'], parents: [['data'], []]},
  ];
  for (const {name, path, parents} of CASES) {
    it(`outlives a power failure with ${name} that it created`, async () => {
      const opened = await NodeDisk.openFolder(join(root, ...path));
      assert.ok(opened.ok);
      const expected = parents.map(parent => join(root, ...parent));
      assert.deepEqual(syncedFolders, expected);
    });
  }

  it('leaves nothing of a replacement that fails on a full disk', async () => {
    const opened = await NodeDisk.openFolder(root);
    assert.ok(opened.ok);
    onOpen = handle => {
      handle.datasync = () => Promise.reject(new Error('full'));
    };
    await assert.rejects(opened.value.replace('file', Buffer.from('content')));
    assert.deepEqual(await opened.value.list(), []);
  });

  it('closes the file of a replacement that fails', async () => {
    const opened = await NodeDisk.openFolder(root);
    assert.ok(opened.ok);
    let isClosed = false;
    onOpen = handle => {
      handle.writeFile = () => Promise.reject(new Error('full'));
      const close = handle.close.bind(handle);
      handle.close = async () => {
        isClosed = true;
        await close();
      };
    };
    await assert.rejects(opened.value.replace('file', Buffer.from('x')));
    assert.ok(isClosed);
  });

  it('outlives a power failure with a folder of an earlier process', async () => {
    await fs.mkdir(join(root, 'group'));
    assert.ok((await NodeDisk.openFolder(join(root, 'group'))).ok);
    assert.deepEqual(syncedFolders, [root]);
  });
});
