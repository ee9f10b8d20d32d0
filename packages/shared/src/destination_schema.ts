import type {z} from 'zod';
import {addressSchema} from './address_schema.js';

/** An address to which a process can connect; port 0 is for listeners alone. */
export const destinationSchema = addressSchema.superRefine(({port}, ctx) => {
  if (port > 0) return;
  ctx.addIssue({
    code: 'custom' satisfies z.ZodIssueCode,
    path: ['port'],
    message: 'must not be 0',
  });
});
