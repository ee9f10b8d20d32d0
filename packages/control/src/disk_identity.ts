/** What a control host stores on its disk at its first start. */
export interface DiskIdentity {
  /**
   * Random part of the member id. A host that lost its disk gets a new one,
   * because it must not vote again under the id whose earlier votes are lost.
   */
  readonly diskId: string;
  /**
   * Whether the disk is one of those with which the system started for the
   * first time. Earlier builds neither state nor read it.
   */
  readonly mayFound?: boolean;
}
