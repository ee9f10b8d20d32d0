/** What a backend server runs. */
export enum BackendKind {
  Model = 'model',
  Service = 'service',
}
