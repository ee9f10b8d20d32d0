import {getLogger, sleep, type Address} from '@vanillamux/shared';
import type {EngineClient} from './engine_client.js';

const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;
const MAX_CALLS = 20;
const MAX_PENDING_CANCELS = 10_000;

const log = getLogger('cancel');

/** An attempt whose engine memory must be released. */
export interface CancelRequest {
  readonly address: Address;
  readonly requestId: string;
  readonly attempt: number;
}

/** Repeats cancels until the engine confirms them. */
export class EngineCanceller {
  private pendingCount = 0;

  constructor(
    private readonly client: EngineClient,
    private readonly signal: AbortSignal,
  ) {}

  /** Cancels in the background. The engine's own lease covers what is lost. */
  cancel(request: CancelRequest): void {
    if (this.pendingCount >= MAX_PENDING_CANCELS) return;
    this.pendingCount++;
    void this.retryUntilConfirmed(request).finally(() => {
      this.pendingCount--;
    });
  }

  private async retryUntilConfirmed({
    address,
    requestId,
    attempt,
  }: CancelRequest): Promise<void> {
    let delayMs = INITIAL_RETRY_DELAY_MS;
    for (let calls = 0; calls < MAX_CALLS; calls++) {
      const result = await this.client.cancel(address, {requestId, attempt});
      if (result.ok) return;
      if (this.signal.aborted) return;
      await sleep(delayMs, this.signal);
      delayMs = Math.min(delayMs * 2, MAX_RETRY_DELAY_MS);
    }
    log.warn('An engine did not confirm a cancel; its lease will end it.', {
      requestId,
      attempt,
    });
  }
}
