import type {z} from 'zod';
import type {entryPeerSchema} from './entry_peer_schema.js';

/** An entry host, and where it takes notices of placements. */
export type EntryPeer = z.infer<typeof entryPeerSchema>;
