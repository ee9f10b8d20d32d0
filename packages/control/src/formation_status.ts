import type {Member} from '@vanillamux/consensus';
import type {Address} from '@vanillamux/shared';
import type {FormationState} from './formation_state.js';

/** State that a control host reports while a group is being formed. */
export interface FormationStatus {
  readonly state: FormationState;
  readonly member: Member;
  /** Whether the host may be an initial member of a new group. */
  readonly mayFound: boolean;
  /** Addresses of the members of the group, as far as the host knows them. */
  readonly known: readonly Address[];
}
