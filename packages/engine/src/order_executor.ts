import {ErrorCodes, fail, succeed, VmuxError} from '@vanillamux/shared';
import type {Result} from '@vanillamux/shared';

/** An order to load a model. */
export interface EngineOrder {
  readonly fencing: number;
  readonly model: string;
}

/** Executes orders; checks their fencing numbers if `checksFencing` is set. */
export class OrderExecutor {
  private highestFencing = 0;
  private readonly loadedModels: Set<string>;

  constructor(
    models: readonly string[],
    private readonly checksFencing: boolean,
  ) {
    this.loadedModels = new Set(models);
  }

  get models(): string[] {
    return [...this.loadedModels];
  }

  /**
   * Loads a model. Rejects an order whose fencing number is lower than the
   * highest one seen.
   */
  execute({fencing, model}: EngineOrder): Result<void> {
    if (this.checksFencing && fencing < this.highestFencing) {
      return fail(new VmuxError(ErrorCodes.StaleFencing));
    }
    this.highestFencing = Math.max(this.highestFencing, fencing);
    this.loadedModels.add(model);
    return succeed(undefined);
  }
}
