import type {RaftNode} from '@vanillamux/consensus';
import type {Result} from '@vanillamux/shared';
import type {Command} from './commands.js';

/** A command before the leader has stamped it with its wall time. */
export type UnstampedCommand<C extends Command> = Omit<C, 'atMs'>;

/** Stamps a command, replicates it and returns its answer. */
export async function proposeCommand<C extends Command, R>(
  node: RaftNode,
  command: UnstampedCommand<C>,
): Promise<Result<R>> {
  const serialized = JSON.stringify({...command, atMs: Date.now()});
  const result = await node.propose(serialized);
  return result as Result<R>;
}
