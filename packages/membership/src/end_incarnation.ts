import {PresenceState, type Presence} from '@vanillamux/protocol';

/** Creates the report that an incarnation has ended, as a fact. */
export function endIncarnation(presence: Presence): Presence {
  return {...presence, state: PresenceState.Gone, isConfirmed: true};
}
