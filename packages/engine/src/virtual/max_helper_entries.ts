/** Entries that an engine takes in the list of helpers of a request. */
export const MAX_HELPER_ENTRIES = 16;
