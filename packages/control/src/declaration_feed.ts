import type {DeclaredVersion} from '@vanillamux/protocol';
import {Deferred, sleep} from '@vanillamux/shared';
import type {ControlHost} from './control_host.js';

/** Reply to a host that waits for newer declarations. */
export interface DeclarationUpdate {
  /** Version in force on the control host that replies. */
  readonly version: number;
  /** Set only if it is newer than the version that the host has. */
  readonly declared?: DeclaredVersion;
  /** Hybrid logical time of the control host that replies. */
  readonly at: string;
  /** Milliseconds since the replying host last knew a leader with a quorum. */
  readonly leaderSilentMs: number;
}

/** Lets hosts wait for newer declarations by long polling. */
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
