/** A change of one or more reports. */
export interface RegistryChange {
  /**
   * Whether requests may fail until entry hosts know of it: a backend server
   * leaves, has left or has become silent, or is one of few of its service.
   */
  readonly isUrgent: boolean;
}
