import type {RecordEntry} from '@vanillamux/protocol';
import type {Result} from '@vanillamux/shared';

/** Takes the record of an entry host to the control hosts. */
export abstract class RecordSink {
  /** Names of the control hosts that are known now, the nearest first. */
  abstract hosts(): readonly string[];
  /** Stores entries durably on one host. Sending them again changes nothing. */
  abstract append(
    host: string,
    entries: readonly RecordEntry[],
    timeoutMs: number,
  ): Promise<Result<void>>;
}
