import type {z} from 'zod';
import type {entryPeerSchema} from './entry_peer_schema.js';

/** An entry host and the address that receives its placement notices. */
export type EntryPeer = z.infer<typeof entryPeerSchema>;
