import type {PeerFacts} from './peer_facts.js';

/** Source of facts that every entry host needs. */
export abstract class FactSource {
  /**
   * Returns a portion of what this host knows, small enough for one notice;
   * further calls return the rest in turn. Returns `undefined` for no facts.
   */
  abstract takeFacts(): PeerFacts | undefined;
}
