export {AdmissionController} from './admission_controller.js';
export {type AdmissionRequest} from './admission_request.js';
export {FairQueue} from './fair_queue.js';
export {Permit} from './permit.js';
export {RetryBudget} from './retry_budget.js';
export {TokenBucket, type TokenBucketOptions} from './token_bucket.js';
