import {StateMachine} from '@vanillamux/consensus';
import type {PublishedDocument} from '@vanillamux/protocol';
import {EventBus} from '@vanillamux/shared';
import {CommandKind} from './command_kind.js';
import type {Command} from './commands.js';
import {DeclaredState, type DeclaredSnapshot} from './declared_state.js';
import {Fencing, type FenceGrant} from './fencing.js';
import {PublishedState} from './published_state.js';
import {Register} from './register.js';
import type {Reservation} from './reservation.js';

interface ControlSnapshot {
  readonly declared: DeclaredSnapshot;
  readonly reservations: Reservation[];
  readonly grants: FenceGrant[];
  readonly published?: PublishedDocument;
  readonly atMs: number;
}

/** The replicated state: declarations, published document, register, fencing. */
export class ControlState extends StateMachine {
  readonly declared = new DeclaredState();
  readonly published = new PublishedState();
  readonly register = new Register();
  readonly fencing = new Fencing();
  /** Emits the version whenever new declarations are in force. */
  readonly versions = new EventBus<number>();
  private latestMs = 0;

  apply(text: string): unknown {
    const command = JSON.parse(text) as Command;
    // A new leader's clock may be behind; state time never runs backwards.
    this.latestMs = Math.max(this.latestMs, command.atMs);
    return this.execute({...command, atMs: this.latestMs});
  }

  snapshot(): string {
    const snapshot: ControlSnapshot = {
      declared: this.declared.save(),
      reservations: this.register.list(),
      grants: this.fencing.list(),
      published: this.published.current,
      atMs: this.latestMs,
    };
    return JSON.stringify(snapshot);
  }

  restore(text: string): void {
    if (text === '') return;
    const snapshot = JSON.parse(text) as ControlSnapshot;
    this.declared.load(snapshot.declared);
    this.register.load(snapshot.reservations);
    this.fencing.load(snapshot.grants);
    this.published.load(snapshot.published);
    this.latestMs = snapshot.atMs;
    this.versions.emit(this.declared.current.version);
  }

  private execute(command: Command): unknown {
    switch (command.kind) {
      case CommandKind.Declare: {
        const answer = this.declared.declare(command);
        if (answer.accepted) this.versions.emit(answer.version);
        return answer;
      }
      case CommandKind.Reserve:
        return this.register.reserve(command);
      case CommandKind.Settle:
        return this.register.settle(command);
      case CommandKind.Expire:
        return this.register.expire(command);
      case CommandKind.Fence:
        return this.fencing.grant(command);
      case CommandKind.Publish:
        return this.published.publish(command);
    }
  }
}
