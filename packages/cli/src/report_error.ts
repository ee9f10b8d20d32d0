import type {VmuxError} from '@vanillamux/shared';
import {ExitCode} from './exit_code.js';

/** Prints an error of the system. */
export function reportError(error: VmuxError): ExitCode {
  process.stderr.write(`${error.code}: ${error.message}\n`);
  return ExitCode.Failed;
}
