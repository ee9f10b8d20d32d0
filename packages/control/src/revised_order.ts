import type {EvacuateCommand} from './commands.js';

/** An order with the revision of the state that it is based on. */
export type RevisedOrder = Omit<EvacuateCommand, 'kind' | 'atMs'>;
