import type {VmuxError} from '@vanillamux/shared';
import {ExitCode} from './exit_code.js';

/** Prints the error of a failed call and returns the exit code for it. */
export function reportError(error: VmuxError): ExitCode {
  process.stderr.write(`${error.code}: ${error.message}\n`);
  return ExitCode.Failed;
}
