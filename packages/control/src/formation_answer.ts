import type {Member} from '@vanillamux/consensus';
import type {FormationState} from './formation_state.js';

/** What a control host says of itself while a group is being formed. */
export interface FormationAnswer {
  readonly state: FormationState;
  readonly member: Member;
}
