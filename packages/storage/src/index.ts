export {
  decodeRecord,
  encodeRecord,
  RECORD_HEADER_BYTES,
} from './record_codec.js';
export {ChecksummedFile} from './checksummed_file.js';
export {Disk} from './disk.js';
export {DiskOperation} from './disk_operation.js';
export {FaultPhase} from './fault_phase.js';
export {LogFile} from './log_file.js';
export {MemoryDisk} from './memory_disk.js';
export {NodeDisk, type NodeDiskOptions} from './node_disk.js';
export {scanRecords, type ScannedLog} from './scan_records.js';
export {Wal, type OpenedWal, type WalStats} from './wal.js';
export {isTransientDiskError} from './is_transient_disk_error.js';
