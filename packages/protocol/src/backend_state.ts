/** Whether a backend server accepts new requests. */
export enum BackendState {
  Ready = 'ready',
  Leaving = 'leaving',
}
