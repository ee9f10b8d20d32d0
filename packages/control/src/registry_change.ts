/** A change of one or more reports. */
export interface RegistryChange {
  /**
   * Whether requests may fail until entry hosts know of it: a backend server
   * leaves, has left or has become silent.
   */
  readonly isUrgent: boolean;
  /** Service of which the backend server is one of few, if it is. */
  readonly scarceService?: string;
}
