import type {
  ControlClient,
  SettleOutcome,
  StoredResponse,
} from '@vanillamux/control';
import {getLogger, sleep} from '@vanillamux/shared';

const CALL_DEADLINE_MS = 3_000;
const RETRY_DELAY_MS = 500;
const MAX_PENDING = 10_000;

const log = getLogger('register');

/** The outcome of a reserved request. */
export interface Settlement {
  readonly workspace: string;
  readonly service: string;
  readonly key: string;
  readonly requestId: string;
  readonly outcome: SettleOutcome;
  readonly answer?: StoredResponse;
}

/** Settles reservations, in the background when the group is unreachable. */
export class Settler {
  private pending = 0;

  constructor(
    private readonly control: ControlClient,
    private readonly signal: AbortSignal,
  ) {}

  /** Settlements that the control group has not confirmed yet. */
  get unsettled(): number {
    return this.pending;
  }

  /** Tries once, and goes on in the background if that fails. */
  async settle(settlement: Settlement): Promise<void> {
    if (await this.tryOnce(settlement)) return;
    if (this.pending >= MAX_PENDING) {
      log.error('Too many settlements wait; an outcome will be unknown.', {
        requestId: settlement.requestId,
      });
      return;
    }
    this.pending++;
    void this.retry(settlement).finally(() => {
      this.pending--;
    });
  }

  private async retry(settlement: Settlement): Promise<void> {
    while (!this.signal.aborted) {
      await sleep(RETRY_DELAY_MS, this.signal);
      if (await this.tryOnce(settlement)) return;
    }
  }

  private async tryOnce(settlement: Settlement): Promise<boolean> {
    const result = await this.control.callLeader(
      (api, signal) => api.register.settle.mutate(settlement, {signal}),
      CALL_DEADLINE_MS,
    );
    return result.ok;
  }
}
