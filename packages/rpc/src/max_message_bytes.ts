/** Largest message between processes, before it is compressed. */
export const MAX_MESSAGE_BYTES = 32 * 1_024 * 1_024;
