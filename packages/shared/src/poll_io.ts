/** An accepted connection is read in the poll after that which accepted it. */
const POLLS = 2;

/**
 * Resolves once the event loop has accepted and read what had arrived. It calls
 * timers that are due before it polls, so that a timer may find a connection idle
 * whose next request is waiting to be read.
 */
export async function pollIo(): Promise<void> {
  for (let poll = 0; poll < POLLS; poll++)
    await new Promise(resolve => setImmediate(resolve));
}
