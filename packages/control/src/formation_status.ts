import type {Member} from '@vanillamux/consensus';
import type {Address} from '@vanillamux/shared';
import type {FormationState} from './formation_state.js';

/** What a control host says of itself while a group is being formed. */
export interface FormationStatus {
  readonly state: FormationState;
  readonly member: Member;
  /** Whether it may be among the first members of a new group. */
  readonly mayFound: boolean;
  /** Members of the group that it knows. */
  readonly known: readonly Address[];
}
