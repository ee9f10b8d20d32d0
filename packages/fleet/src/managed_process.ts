import {spawn, type ChildProcess} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import {once} from 'node:events';

/** How to start a `ManagedProcess`. */
export interface ManagedProcessOptions {
  readonly name: string;
  /** Script that Node runs. */
  readonly script: string;
  readonly args: readonly string[];
  /** File that receives standard output and error. */
  readonly logFile: string;
  /** Arguments for Node itself. */
  readonly nodeArgs?: readonly string[];
}

/** A process of the system that this one started. */
export class ManagedProcess {
  private child?: ChildProcess;

  constructor(private readonly options: ManagedProcessOptions) {}

  get name(): string {
    return this.options.name;
  }

  get pid(): number | undefined {
    return this.child?.pid;
  }

  get isRunning(): boolean {
    const {child} = this;
    return child !== undefined && child.exitCode === null && !child.signalCode;
  }

  /** Exit code once the process has ended by itself. */
  get exitCode(): number | null {
    return this.child?.exitCode ?? null;
  }

  start(): void {
    const {script, args, logFile, nodeArgs = []} = this.options;
    const log = openSync(logFile, 'a');
    this.child = spawn(process.execPath, [...nodeArgs, script, ...args], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
  }

  /** Waits until the process has ended by itself. Returns the exit code. */
  async waitForExit(): Promise<number | null> {
    if (this.child && this.isRunning) await once(this.child, 'exit');
    return this.exitCode;
  }

  /** Sends a signal. */
  sendSignal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child?.kill(signal);
  }

  /** Sends a signal and waits for the end. Returns the exit code. */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    const {child} = this;
    if (!child || !this.isRunning) return this.exitCode;
    const exited = once(child, 'exit');
    child.kill(signal);
    // A stopped process handles the signal only once it goes on.
    if (signal === 'SIGTERM') child.kill('SIGCONT');
    await exited;
    return child.exitCode;
  }
}
