import type {Packed} from '@vanillamux/rpc';

/** A `PublishedDocument` that was compressed once for all entry hosts. */
export interface PackedDocument extends Packed {
  readonly version: number;
}
