import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';

const COMMAND = fileURLToPath(
  new URL('../src/bin/vmux_load.js', import.meta.url),
);
const DAY = fileURLToPath(
  new URL('../../../../examples/poldtoetus/days/heavy.yaml', import.meta.url),
);
const SCARCE_DAY = fileURLToPath(
  new URL('../../../../examples/smallcal/days/scarce.yaml', import.meta.url),
);

const CASES = [
  {
    name: 'a day with one placement',
    args: [DAY, '--days', '1', '--placement', 'round_robin'],
    status: 0,
    output: /^\| round_robin \| \*\*all\*\* /m,
  },
  {
    name: 'a missing file',
    args: ['missing.yaml'],
    status: 2,
    output: /missing\.yaml:0: .*readable file/,
  },
  {
    name: 'an unknown placement',
    args: [DAY, '--placement', 'best'],
    status: 2,
    output: /--placement: expected one of round_robin, /,
  },
  {
    name: 'an unknown admission',
    args: [DAY, '--admission', 'some'],
    status: 2,
    output: /--admission: Invalid enum value\. Expected 'open' \| 'backlog'/,
  },
  {
    name: 'an unknown load',
    args: [SCARCE_DAY, '--load', 'none'],
    status: 2,
    output: /--load: expected one of short, long, /,
  },
  {
    name: 'days that are not a number',
    args: [DAY, '--days', 'many'],
    status: 2,
    output: /--days: Expected number/,
  },
  {
    name: 'zero days',
    args: [DAY, '--days', '0'],
    status: 2,
    output: /--days: .*greater than or equal to 1/,
  },
];

describe('vmux-load play', () => {
  for (const {name, args, status, output} of CASES) {
    it(`handles ${name}`, () => {
      const result = spawnSync(process.execPath, [COMMAND, 'play', ...args], {
        encoding: 'utf8',
      });
      assert.equal(result.status, status, result.stderr);
      assert.match(`${result.stdout}${result.stderr}`, output);
    });
  }
});
