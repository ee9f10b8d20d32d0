import {z} from 'zod';
import {emptiedDomainSchema} from './emptied_domain_schema.js';
import {MAX_EMPTIED_DOMAINS} from './max_emptied_domains.js';

/** Schema of an `EvacuationView`. */
export const evacuationViewSchema = z.object({
  /** Number of changes so far; a view with a higher one is newer. */
  revision: z.number().int().min(0).safe(),
  failureDomains: z.array(emptiedDomainSchema).max(MAX_EMPTIED_DOMAINS),
});
