import type {RecordEntry} from '@vanillamux/protocol';
import type {Result} from '@vanillamux/shared';

/** Delivers the record of an entry host to the control hosts. */
export abstract class RecordSink {
  /** Names of the known control hosts, nearest first. */
  abstract hosts(): readonly string[];
  /** Stores entries durably on one host; idempotent. */
  abstract append(
    host: string,
    entries: readonly RecordEntry[],
    timeoutMs: number,
  ): Promise<Result<void>>;
}
