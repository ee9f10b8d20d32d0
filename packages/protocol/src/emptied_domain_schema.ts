import {z} from 'zod';

const MAX_NAME_LENGTH = 128;

/** Name of a failure domain that an operator empties. */
export const emptiedDomainSchema = z
  .string()
  .min(1, 'the name of the failure domain is empty')
  .max(MAX_NAME_LENGTH, 'the name of the failure domain is too long')
  .regex(/^\P{Cc}+$/u, 'the name has a control character');
