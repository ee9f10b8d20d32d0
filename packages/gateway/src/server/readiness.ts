import {getLogger, monotonicMs} from '@vanillamux/shared';
import type {ConfigStore} from '../link/config_store.js';

/**
 * Time after which a host serves with the configuration of control hosts that
 * have no leader, so that a partitioned failure domain continues to serve.
 */
const UNCONFIRMED_DELAY_MS = 5_000;

const log = getLogger('gateway');

/** Decides whether a host is ready to accept connections. */
export class Readiness {
  private isConfirmed = false;
  private firstContactMs?: number;
  private isDraining = false;
  private wasReady = false;

  constructor(private readonly config: ConfigStore) {}

  /**
   * Handles a response of a control host. The configuration is confirmed once
   * it is as new as that of a control host that follows a leader.
   */
  onContact(isCurrent: boolean, version: number): void {
    this.firstContactMs ??= monotonicMs();
    if (isCurrent && version >= 0 && this.config.version >= version) {
      this.isConfirmed = true;
    }
  }

  /** Makes the host report not ready until it stops. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Whether the host drains before it stops. */
  get draining(): boolean {
    return this.isDraining;
  }

  /** Whether the host is ready to accept connections. */
  get isReady(): boolean {
    const isReady = this.evaluate();
    if (isReady !== this.wasReady) {
      log.info('Readiness changed.', {
        isReady,
        configVersion: this.config.version,
        isConfirmed: this.isConfirmed,
        isDraining: this.isDraining,
      });
    }
    this.wasReady = isReady;
    return isReady;
  }

  private evaluate(): boolean {
    if (this.isDraining || this.config.version < 0) return false;
    if (this.isConfirmed) return true;
    const contactMs = this.firstContactMs ?? Infinity;
    return monotonicMs() - contactMs > UNCONFIRMED_DELAY_MS;
  }
}
