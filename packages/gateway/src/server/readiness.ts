import {monotonicMs} from '@vanillamux/shared';
import type {ConfigStore} from '../link/config_store.js';

/**
 * Time after which a host serves what control hosts without a leader have,
 * so that a failure domain that is cut off goes on.
 */
const UNCONFIRMED_DELAY_MS = 5_000;

/** Decides whether a host may take connections. */
export class Readiness {
  private isConfirmed = false;
  private firstContactMs?: number;
  private isDraining = false;

  constructor(private readonly config: ConfigStore) {}

  /** A control host has answered. */
  onContact(isCurrent: boolean, version: number): void {
    this.firstContactMs ??= monotonicMs();
    if (isCurrent && version >= 0 && this.config.version >= version) {
      this.isConfirmed = true;
    }
  }

  /** The host is about to stop. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Whether the host is about to stop. */
  get draining(): boolean {
    return this.isDraining;
  }

  /** Whether the host takes connections. */
  get isReady(): boolean {
    if (this.isDraining || this.config.version < 0) return false;
    if (this.isConfirmed) return true;
    const contactMs = this.firstContactMs ?? Infinity;
    return monotonicMs() - contactMs > UNCONFIRMED_DELAY_MS;
  }
}
