/** A change of one or more reports. */
export interface RegistryChange {
  /** Whether a backend server leaves, has left or has become silent. */
  readonly isUrgent: boolean;
}
