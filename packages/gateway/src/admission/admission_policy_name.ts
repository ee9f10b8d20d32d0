/** Admission policies that the settings can select. */
export enum AdmissionPolicyName {
  /** Admits every request. */
  Open = 'open',
  /** Refuses requests that the engines' backlog would keep past their goals. */
  Backlog = 'backlog',
  /** Refuses what costs callers least while there is too little room. */
  LeastCost = 'least-cost',
}
