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

/** Sink with one control host, which fails every call until available. */
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
  it('limits the entries buffered while no host syncs them', async () => {
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

  it('delivers the last entries on close without collecting a batch', async () => {
    const sink = new ToggleableSink();
    sink.isAvailable = true;
    const recorder = new Recorder({
      entryHostId: 'entry',
      failureDomain: 'fd-a',
      clock: new HybridClock(),
      sink,
      batchDelayMs: 10 * TIMEOUT_MS,
    });
    const stopping = new AbortController();
    void recorder.run(stopping.signal);
    do await sleep(POLL_MS);
    while (recorder.undelivered.length > 0);
    await recorder.close(TIMEOUT_MS);
    stopping.abort();
    const kinds = sink.appended.map(({kind}) => kind);
    assert.deepEqual(kinds, [RecordKind.Opened, RecordKind.Closed]);
  });
});
