import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

const SCRIPT = fileURLToPath(
  new URL('./support/run_follower_with_lost_write.js', import.meta.url),
);

describe('a follower whose write may have lost entries', () => {
  it('ends its process instead of running without acknowledging anything', async () => {
    const follower = spawn(process.execPath, [SCRIPT], {
      stdio: ['ignore', 'ignore', 'ignore'],
    });
    const [code] = (await once(follower, 'exit')) as [number | null];
    assert.equal(code, 1);
  });
});
