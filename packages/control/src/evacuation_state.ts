import type {EvacuationView} from '@vanillamux/protocol';
import {EventBus} from '@vanillamux/shared';
import type {EvacuationAnswer} from './evacuation_answer.js';
import {EvacuationVerdict} from './evacuation_verdict.js';

/** Holds the failure domains that operators have emptied. */
export class EvacuationState {
  /** Emits the revision whenever it changes. */
  readonly revisions = new EventBus<number>();
  private current: EvacuationView = {revision: 0, failureDomains: []};

  /** The emptied failure domains, in the order of their names. */
  get view(): EvacuationView {
    return this.current;
  }

  /**
   * Replaces the view by a newer one. The command has all of it, so that a
   * member that lost it in a build before catches up at the next order.
   */
  replace(view: EvacuationView): EvacuationAnswer {
    const {revision} = this.current;
    if (view.revision <= revision)
      return {verdict: EvacuationVerdict.Outdated, revision};
    this.set(view);
    return {verdict: EvacuationVerdict.Changed, revision: view.revision};
  }

  /** Returns the state for a snapshot; `undefined` before the first order. */
  save(): EvacuationView | undefined {
    return this.current.revision > 0 ? this.current : undefined;
  }

  /**
   * Restores the state of a snapshot. Without one, the state stays: a member of
   * an earlier build leaves it out of its snapshots.
   */
  load(view: EvacuationView | undefined): void {
    if (view && view.revision !== this.current.revision) this.set(view);
  }

  private set(view: EvacuationView): void {
    this.current = view;
    this.revisions.emit(view.revision);
  }
}
