/** Kinds of commands in the replicated log. */
export enum CommandKind {
  Declare = 'declare',
  Reserve = 'reserve',
  Settle = 'settle',
  Expire = 'expire',
  Fence = 'fence',
  Publish = 'publish',
  Evacuate = 'evacuate',
}
