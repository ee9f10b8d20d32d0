/** Whether a backend server takes new work. */
export enum BackendState {
  Ready = 'ready',
  Leaving = 'leaving',
}
