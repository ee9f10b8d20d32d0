import process from 'node:process';

/** Ignores an error of the output, whose stream is destroyed by it. */
function ignoreError(): void {}

/**
 * Keeps the process running when the reader of its standard output or standard
 * error exits: without a listener, the error of the next write would end it.
 */
export function surviveClosedOutput(): void {
  for (const output of [process.stdout, process.stderr]) {
    if (!output.listeners('error').includes(ignoreError))
      output.on('error', ignoreError);
  }
}
