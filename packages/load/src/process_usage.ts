import {readFileSync} from 'node:fs';

const TICKS_PER_SECOND = 100;
const BYTES_PER_KIB = 1_024;
/** Indexes into the fields of /proc/PID/stat after the command name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Processor time and resident memory of a process. */
export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Reads the resource usage of a process from procfs (Linux, see proc(5)). */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const resident = /VmRSS:\s+(\d+)/.exec(status)?.[1] ?? '0';
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: Number(resident) * BYTES_PER_KIB,
  };
}
