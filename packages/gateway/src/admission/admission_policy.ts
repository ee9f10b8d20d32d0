import type {AdmissionRefusal} from './admission_refusal.js';
import type {AdmissionRequest} from './admission_request.js';

/** Decides whether a request that could be placed is better refused at once. */
export abstract class AdmissionPolicy {
  /** Returns `undefined` to admit the request. */
  abstract refuse(request: AdmissionRequest): AdmissionRefusal | undefined;
}
