import {StateMachine} from '@vanillamux/consensus';
import type {EvacuationView, PublishedDocument} from '@vanillamux/protocol';
import {EventBus} from '@vanillamux/shared';
import {CommandKind} from './command_kind.js';
import type {Command} from './commands.js';
import {DeclaredState, type DeclaredSnapshot} from './declared_state.js';
import {EvacuationState} from './evacuation_state.js';
import {FencingRegistry, type FenceGrant} from './fencing_registry.js';
import {PublishedState} from './published_state.js';
import {ReservationRegistry} from './reservation_registry.js';
import type {Reservation} from './reservation.js';

interface ControlSnapshot {
  readonly declared: DeclaredSnapshot;
  readonly reservations: Reservation[];
  readonly grants: FenceGrant[];
  readonly published?: PublishedDocument;
  /** Absent before the first order, and in snapshots of earlier builds. */
  readonly evacuation?: EvacuationView;
  readonly atMs: number;
}

/**
 * State machine of the control group: declarations, published document, emptied
 * failure domains, at-most-once reservations and fencing numbers.
 */
export class ControlState extends StateMachine {
  readonly declared = new DeclaredState();
  readonly published = new PublishedState();
  readonly evacuation = new EvacuationState();
  readonly reservations = new ReservationRegistry();
  readonly fencing = new FencingRegistry();
  /** Emits the version whenever new declarations take effect. */
  readonly declaredVersions = new EventBus<number>();
  /** Latest command time, which decides when leases end. */
  private latestCommandMs = 0;

  apply(text: string): unknown {
    const command = JSON.parse(text) as Command;
    // A new leader's clock may be behind; time in the state never goes back.
    this.latestCommandMs = Math.max(this.latestCommandMs, command.atMs);
    return this.execute({...command, atMs: this.latestCommandMs});
  }

  snapshot(): string {
    const snapshot: ControlSnapshot = {
      declared: this.declared.save(),
      reservations: this.reservations.list(),
      grants: this.fencing.list(),
      published: this.published.current,
      evacuation: this.evacuation.save(),
      atMs: this.latestCommandMs,
    };
    return JSON.stringify(snapshot);
  }

  restore(text: string): void {
    if (text === '') return;
    const snapshot = JSON.parse(text) as ControlSnapshot;
    this.declared.load(snapshot.declared);
    this.reservations.load(snapshot.reservations);
    this.fencing.load(snapshot.grants);
    this.published.load(snapshot.published);
    this.evacuation.load(snapshot.evacuation);
    this.latestCommandMs = snapshot.atMs;
    this.declaredVersions.emit(this.declared.current.version);
  }

  private execute(command: Command): unknown {
    switch (command.kind) {
      case CommandKind.Declare: {
        const result = this.declared.declare(command);
        if (result.accepted) this.declaredVersions.emit(result.version);
        return result;
      }
      case CommandKind.Reserve:
        return this.reservations.reserve(command);
      case CommandKind.Settle:
        return this.reservations.settle(command);
      case CommandKind.Expire:
        return this.reservations.expire(command);
      case CommandKind.Fence:
        return this.fencing.grant(command);
      case CommandKind.Publish:
        return this.published.publish(command);
      case CommandKind.Evacuate:
        return this.evacuation.replace(command.view);
    }
  }
}
