import {MAX_EMPTIED_DOMAINS, type EvacuationView} from '@vanillamux/protocol';
import {EventBus} from '@vanillamux/shared';
import {EvacuationAction} from './evacuation_action.js';
import type {EvacuationAnswer} from './evacuation_answer.js';
import {EvacuationVerdict} from './evacuation_verdict.js';
import type {RevisedOrder} from './revised_order.js';

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
   * Carries out an order that is based on the current revision. One that was
   * delayed on its way could otherwise undo a later one.
   */
  order({
    failureDomain,
    action,
    expectedRevision,
  }: RevisedOrder): EvacuationAnswer {
    const {revision, failureDomains} = this.current;
    if (expectedRevision !== revision)
      return {verdict: EvacuationVerdict.Outdated, revision};
    const isBegin = action === EvacuationAction.Begin;
    if (failureDomains.includes(failureDomain) === isBegin)
      return {verdict: EvacuationVerdict.Unchanged, revision};
    if (isBegin && failureDomains.length >= MAX_EMPTIED_DOMAINS)
      return {verdict: EvacuationVerdict.LimitReached, revision};
    const others = failureDomains.filter(name => name !== failureDomain);
    this.replace({
      revision: revision + 1,
      failureDomains: isBegin ? [...others, failureDomain].sort() : others,
    });
    return {verdict: EvacuationVerdict.Changed, revision: revision + 1};
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
    if (view && view.revision !== this.current.revision) this.replace(view);
  }

  private replace(view: EvacuationView): void {
    this.current = view;
    this.revisions.emit(view.revision);
  }
}
