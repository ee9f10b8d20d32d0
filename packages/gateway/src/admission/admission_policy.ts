import type {AdmissionRequest} from './admission_request.js';

/** Decides whether a request that could be placed is better refused at once. */
export abstract class AdmissionPolicy {
  /**
   * Returns `undefined` to admit the request, or the time after which its client
   * should return, in milliseconds.
   */
  abstract refuse(request: AdmissionRequest): number | undefined;
}
