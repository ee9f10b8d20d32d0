/** Admission policies that the settings can select. */
export enum AdmissionPolicyName {
  /** Admits every request. */
  Open = 'open',
  /** Refuses requests that the engines' backlog would keep past their goals. */
  Backlog = 'backlog',
}
