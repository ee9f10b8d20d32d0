/** Resolves with the first SIGTERM or SIGINT that the process receives. */
export function waitForSignal(): Promise<NodeJS.Signals> {
  return new Promise(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
}
