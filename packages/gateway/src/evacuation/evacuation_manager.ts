import type {EvacuationView} from '@vanillamux/protocol';
import {getLogger} from '@vanillamux/shared';
import {FactSource} from '../peers/fact_source.js';
import type {PeerFacts} from '../peers/peer_facts.js';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {EmptiedDomains} from './emptied_domains.js';

const log = getLogger('evacuation');

/** Options of an `EvacuationManager`. */
export interface EvacuationManagerOptions {
  readonly notices: Pick<PeerNotices, 'evacuationNotices'>;
  readonly emptied: EmptiedDomains;
}

/**
 * Learns from control hosts and peers which failure domains are emptied. A peer
 * may know it first, as a control host that is behind tells an older view.
 */
export class EvacuationManager extends FactSource {
  constructor(private readonly options: EvacuationManagerOptions) {
    super();
    void options.notices
      .evacuationNotices()
      .observe(view => this.learn(view, 'peer'));
  }

  takeFacts(): PeerFacts | undefined {
    const {view} = this.options.emptied;
    return view && {evacuation: view};
  }

  /** Learns a view, unless this host has seen a newer one. */
  learn(view: EvacuationView, source: 'control' | 'peer'): void {
    if (!this.options.emptied.update(view)) return;
    const {revision, failureDomains} = view;
    log.info('The emptied failure domains changed.', {
      revision,
      emptied: failureDomains.join(', ') || 'none',
      source,
    });
  }
}
