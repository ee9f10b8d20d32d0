/** What a long-running process does when a signal arrives. */
export enum ProcessPhase {
  Starting = 'starting',
  Running = 'running',
  Stopping = 'stopping',
}
