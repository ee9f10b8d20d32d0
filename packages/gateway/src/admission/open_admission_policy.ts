import {AdmissionPolicy} from './admission_policy.js';

/** Admits every request. */
export class OpenAdmissionPolicy extends AdmissionPolicy {
  refuse(): undefined {
    return undefined;
  }
}
