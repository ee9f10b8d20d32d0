/** Lists that `show` reads. */
export enum Subject {
  Requests = 'requests',
  Backends = 'backends',
  Hosts = 'hosts',
  Register = 'register',
  Workspaces = 'workspaces',
  Classes = 'classes',
  Versions = 'versions',
}
