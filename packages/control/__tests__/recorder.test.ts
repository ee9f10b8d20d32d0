import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordKind, type RecordEntry} from '@vanillamux/protocol';
import {
  ErrorCodes,
  fail,
  HybridClock,
  monotonicMs,
  sleep,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import {Recorder, RecordSink} from '../src/index.js';

const POLL_MS = 5;
const WAIT_LIMIT_MS = 5_000;

/** Control hosts that take the record, or do not. */
class SwitchedSink extends RecordSink {
  isOpen = false;
  readonly taken: RecordEntry[] = [];

  hosts(): readonly string[] {
    return ['a'];
  }

  async append(
    host: string,
    entries: readonly RecordEntry[],
  ): Promise<Result<void>> {
    if (!this.isOpen) return fail(new VmuxError(ErrorCodes.NoQuorum));
    this.taken.push(...entries);
    return succeed(undefined);
  }
}

describe('Recorder', () => {
  it('has room for a number of entries while nobody takes them', async () => {
    const sink = new SwitchedSink();
    const recorder = new Recorder({
      entryId: 'entry',
      failureDomain: 'fd-a',
      clock: new HybridClock(),
      sink,
      maxEntries: 3,
    });
    const stopping = new AbortController();
    void recorder.run(stopping.signal);
    assert.equal(recorder.hasRoom, true);
    for (const requestId of ['r1', 'r2']) {
      recorder.add({kind: RecordKind.Admitted, requestId});
    }
    assert.equal(recorder.hasRoom, false);
    sink.isOpen = true;
    const endMs = monotonicMs() + WAIT_LIMIT_MS;
    while (!recorder.hasRoom && monotonicMs() < endMs) await sleep(POLL_MS);
    stopping.abort();
    assert.equal(recorder.hasRoom, true);
    const kinds = sink.taken.map(({kind}) => kind);
    const {Opened, Admitted} = RecordKind;
    assert.deepEqual(kinds, [Opened, Admitted, Admitted]);
  });
});
