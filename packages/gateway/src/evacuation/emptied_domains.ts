import type {EvacuationView, Presence} from '@vanillamux/protocol';

/**
 * Failure domains that an operator has emptied, as of the newest revision that
 * this host has seen. Control hosts and peers may tell an older one.
 */
export class EmptiedDomains {
  private current?: EvacuationView;

  /** The newest view; `undefined` before the first order of an operator. */
  get view(): EvacuationView | undefined {
    return this.current;
  }

  /** Revision of the view; 0 before the first order. */
  get revision(): number {
    return this.current?.revision ?? 0;
  }

  /** Number of emptied failure domains. */
  get size(): number {
    return this.current?.failureDomains.length ?? 0;
  }

  /** Whether a backend server is in an emptied failure domain. */
  has({failureDomain}: Pick<Presence, 'failureDomain'>): boolean {
    return this.current?.failureDomains.includes(failureDomain) ?? false;
  }

  /** Replaces the view by a newer one. Returns whether it was newer. */
  update(view: EvacuationView): boolean {
    if (view.revision <= this.revision) return false;
    this.current = view;
    return true;
  }
}
