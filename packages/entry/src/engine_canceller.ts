import {getLogger, sleep, type Address} from '@vanillamux/shared';
import type {EngineClient} from './engine_client.js';

const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 2_000;
const MAX_TRIES = 20;
const MAX_PENDING = 10_000;

const log = getLogger('cancel');

/** An attempt whose engine memory must be released. */
export interface CancelOrder {
  readonly address: Address;
  readonly requestId: string;
  readonly attempt: number;
}

/** Repeats cancels until the engine confirms them. */
export class EngineCanceller {
  private pending = 0;

  constructor(
    private readonly client: EngineClient,
    private readonly signal: AbortSignal,
  ) {}

  /** Cancels in the background. The engine's own lease covers what is lost. */
  cancel(order: CancelOrder): void {
    if (this.pending >= MAX_PENDING) return;
    this.pending++;
    void this.run(order).finally(() => {
      this.pending--;
    });
  }

  private async run({address, requestId, attempt}: CancelOrder): Promise<void> {
    let delayMs = FIRST_RETRY_MS;
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const result = await this.client.cancel(address, {requestId, attempt});
      if (result.ok) return;
      if (this.signal.aborted) return;
      await sleep(delayMs, this.signal);
      delayMs = Math.min(delayMs * 2, MAX_RETRY_MS);
    }
    log.warn('An engine did not confirm a cancel; its lease will end it.', {
      requestId,
      attempt,
    });
  }
}
