/** Operations that change a folder of durable files. */
export enum DiskOperation {
  Open = 'open',
  Replace = 'replace',
  Rename = 'rename',
  Remove = 'remove',
  SyncNames = 'sync_names',
  Append = 'append',
  Sync = 'sync',
  Truncate = 'truncate',
  Close = 'close',
}
