/** Lists that a `show` statement can read. */
export enum Subject {
  Requests = 'requests',
  Backends = 'backends',
  Hosts = 'hosts',
  Register = 'register',
  Workspaces = 'workspaces',
  Classes = 'classes',
  Versions = 'versions',
  Domains = 'domains',
}
