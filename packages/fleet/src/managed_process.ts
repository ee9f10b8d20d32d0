import {spawn, type ChildProcess} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import {once} from 'node:events';

/** Options of a `ManagedProcess`. */
export interface ManagedProcessOptions {
  readonly name: string;
  /** Path of the script that Node.js runs. */
  readonly script: string;
  readonly args: readonly string[];
  /** File that standard output and standard error are appended to. */
  readonly logFile: string;
  /** Command-line options for Node.js, placed before the script. */
  readonly nodeArgs?: readonly string[];
}

/** Child process that runs a Node.js script and logs to a file. */
export class ManagedProcess {
  private child?: ChildProcess;

  constructor(private readonly options: ManagedProcessOptions) {}

  get name(): string {
    return this.options.name;
  }

  get logFile(): string {
    return this.options.logFile;
  }

  get pid(): number | undefined {
    return this.child?.pid;
  }

  get isRunning(): boolean {
    const {child} = this;
    return child !== undefined && child.exitCode === null && !child.signalCode;
  }

  /** Exit code; null while the process runs or if a signal ended it. */
  get exitCode(): number | null {
    return this.child?.exitCode ?? null;
  }

  /** Signal that ended the process; null while it runs or if it exited. */
  get signalCode(): NodeJS.Signals | null {
    return this.child?.signalCode ?? null;
  }

  start(): void {
    const {script, args, logFile, nodeArgs = []} = this.options;
    const log = openSync(logFile, 'a');
    this.child = spawn(process.execPath, [...nodeArgs, script, ...args], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
  }

  /** Waits for the process to exit by itself; returns the exit code. */
  async waitForExit(): Promise<number | null> {
    if (this.child && this.isRunning) await once(this.child, 'exit');
    return this.exitCode;
  }

  sendSignal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child?.kill(signal);
  }

  /** Sends a signal and waits for the exit; returns the exit code. */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    const {child} = this;
    if (!child || !this.isRunning) return this.exitCode;
    const exited = once(child, 'exit');
    child.kill(signal);
    // A process suspended by SIGSTOP handles SIGTERM only after SIGCONT.
    if (signal === 'SIGTERM') child.kill('SIGCONT');
    await exited;
    return child.exitCode;
  }
}
