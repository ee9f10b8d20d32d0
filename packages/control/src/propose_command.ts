import type {RaftNode} from '@vanillamux/consensus';
import type {Result} from '@vanillamux/shared';
import type {Command} from './commands.js';

/** Command without the leader's timestamp. */
export type UnstampedCommand<C extends Command> = Omit<C, 'atMs'>;

/** Adds the wall-clock time to a command, replicates it, returns its result. */
export async function proposeCommand<C extends Command, R>(
  node: RaftNode,
  command: UnstampedCommand<C>,
): Promise<Result<R>> {
  const serialized = JSON.stringify({...command, atMs: Date.now()});
  const result = await node.propose(serialized);
  return result as Result<R>;
}
