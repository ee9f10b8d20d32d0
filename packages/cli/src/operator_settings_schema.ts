import {addressSchema} from '@vanillamux/shared';
import {z} from 'zod';

/** Settings of `vmux`. */
export const operatorSettingsSchema = z
  .object({
    /** Operator name that is stored with each change. */
    operator: z.string().min(1),
    control: z.array(addressSchema).min(1),
    /** Internal addresses of the entry hosts. */
    entries: z.array(addressSchema).default([]),
  })
  .strict();
