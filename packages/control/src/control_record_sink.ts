import type {RecordEntry} from '@vanillamux/protocol';
import type {Result} from '@vanillamux/shared';
import type {ControlClient} from './control_client.js';
import {RecordSink} from './record_sink.js';

/** Delivers the record to the control hosts of a `ControlClient`. */
export class ControlRecordSink extends RecordSink {
  private readonly names: readonly string[];

  constructor(private readonly control: ControlClient) {
    super();
    this.names = Array.from({length: control.hostCount}, (_, at) => String(at));
  }

  hosts(): readonly string[] {
    return this.names;
  }

  append(
    host: string,
    entries: readonly RecordEntry[],
    timeoutMs: number,
  ): Promise<Result<void>> {
    return this.control.callAt(
      Number(host),
      (api, signal) => api.record.append.mutate([...entries], {signal}),
      timeoutMs,
    );
  }
}
