/**
 * Resolves with the first SIGTERM or SIGINT that the process receives. The same
 * signal ends the process if it is repeated, as suits a program that a person
 * runs; see `ProcessSignals` for one that serves.
 */
export function waitForSignal(): Promise<NodeJS.Signals> {
  return new Promise(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
}
