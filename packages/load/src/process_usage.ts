import {readFileSync} from 'node:fs';

const TICKS_PER_SECOND = 100;
const BYTES_PER_KIB = 1_024;
/** Fields of a process's stat line after the command name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Processor time and memory that a process has used. */
export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Reads what the kernel counts for a process (Linux, see proc(5)). */
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
