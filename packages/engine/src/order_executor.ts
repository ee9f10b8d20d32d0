import {ErrorCodes, fail, succeed, VmuxError} from '@vanillamux/shared';
import type {Result} from '@vanillamux/shared';

/** An order to load a model or to change role. */
export interface EngineOrder {
  readonly fencing: number;
  readonly model: string;
}

/** Takes orders; checks fencing numbers unless told to ignore them. */
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

  /** Loads a model, unless the order is older than one already seen. */
  execute({fencing, model}: EngineOrder): Result<void> {
    if (this.checksFencing && fencing < this.highestFencing) {
      return fail(new VmuxError(ErrorCodes.StaleFencing));
    }
    this.highestFencing = Math.max(this.highestFencing, fencing);
    this.loadedModels.add(model);
    return succeed(undefined);
  }
}
