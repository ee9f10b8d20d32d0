import type {RecordEntry} from '@vanillamux/protocol';
import type {Result} from '@vanillamux/shared';
import type {ControlClient} from './control_client.js';
import {RecordSink} from './record_sink.js';

/** Delivers the record to the control hosts of a `ControlClient`. */
export class ControlRecordSink extends RecordSink {
  private readonly hostNames: readonly string[];

  constructor(private readonly control: ControlClient) {
    super();
    this.hostNames = Array.from({length: control.hostCount}, (_, index) =>
      String(index),
    );
  }

  hosts(): readonly string[] {
    return this.hostNames;
  }

  append(
    host: string,
    entries: readonly RecordEntry[],
    timeoutMs: number,
  ): Promise<Result<void>> {
    return this.control.callHost(
      Number(host),
      (api, signal) => api.record.append.mutate([...entries], {signal}),
      timeoutMs,
    );
  }
}
