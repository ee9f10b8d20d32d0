import type {DeclaredVersion} from '@vanillamux/protocol';
import {Deferred, sleep} from '@vanillamux/shared';
import type {ControlHost} from './control_host.js';

/** Answer to a host that waits for newer declarations. */
export interface DeclarationUpdate {
  /** Version in force on the answering control host. */
  readonly version: number;
  /** Present only when it is newer than the one the host has. */
  readonly declared?: DeclaredVersion;
  /** Hybrid logical time of the answering host. */
  readonly at: string;
  /** Milliseconds since the answering host knew a leader with a quorum. */
  readonly leaderSilentMs: number;
}

/** Answers hosts as soon as newer declarations are in force. */
export class DeclarationFeed {
  private nextVersion = new Deferred<void>();

  constructor(private readonly host: ControlHost) {
    void host.stateMachine.declaredVersions.stream().observe(() => {
      this.nextVersion.resolve();
      this.nextVersion = new Deferred<void>();
    });
  }

  /** Waits up to `waitMs` for a version above `haveVersion`. */
  async wait(haveVersion: number, waitMs: number): Promise<DeclarationUpdate> {
    if (this.current.version <= haveVersion && waitMs > 0) {
      const timer = new AbortController();
      await Promise.race([
        this.nextVersion.promise,
        sleep(waitMs, timer.signal),
      ]);
      timer.abort('answered');
    }
    const {version} = this.current;
    return {
      version,
      at: this.host.timeline.clock.now(),
      declared: version > haveVersion ? this.current : undefined,
      leaderSilentMs: this.host.node.status().leaderSilentMs,
    };
  }

  private get current(): DeclaredVersion {
    return this.host.stateMachine.declared.current;
  }
}
