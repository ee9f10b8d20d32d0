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
const TIMEOUT_MS = 5_000;

/** Control hosts that take the record, or do not. */
class ToggleableSink extends RecordSink {
  isAvailable = false;
  readonly appended: RecordEntry[] = [];

  hosts(): readonly string[] {
    return ['a'];
  }

  async append(
    host: string,
    entries: readonly RecordEntry[],
  ): Promise<Result<void>> {
    if (!this.isAvailable) return fail(new VmuxError(ErrorCodes.NoQuorum));
    this.appended.push(...entries);
    return succeed(undefined);
  }
}

describe('Recorder', () => {
  it('has room for a number of entries while nobody takes them', async () => {
    const sink = new ToggleableSink();
    const recorder = new Recorder({
      entryHostId: 'entry',
      failureDomain: 'fd-a',
      clock: new HybridClock(),
      sink,
      maxEntries: 3,
    });
    const stopping = new AbortController();
    void recorder.run(stopping.signal);
    assert.equal(recorder.hasCapacity, true);
    for (const requestId of ['r1', 'r2']) {
      recorder.add({kind: RecordKind.Admitted, requestId});
    }
    assert.equal(recorder.hasCapacity, false);
    sink.isAvailable = true;
    const deadlineMs = monotonicMs() + TIMEOUT_MS;
    while (!recorder.hasCapacity && monotonicMs() < deadlineMs)
      await sleep(POLL_MS);
    stopping.abort();
    assert.equal(recorder.hasCapacity, true);
    const kinds = sink.appended.map(({kind}) => kind);
    const {Opened, Admitted} = RecordKind;
    assert.deepEqual(kinds, [Opened, Admitted, Admitted]);
  });
});
