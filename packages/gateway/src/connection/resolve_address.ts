import type {Address} from '@vanillamux/shared';

/** Returns the address to connect to for the address of a backend server. */
export type ResolveAddress = (address: Address) => Address;
