import {ErrorCodes, fail, succeed, VmuxError} from '@vanillamux/shared';
import type {Result} from '@vanillamux/shared';

/** An order to load a model or to change role. */
export interface EngineOrder {
  readonly fencing: number;
  readonly model: string;
}

/** Takes orders; checks fencing numbers unless told to ignore them. */
export class OrderDesk {
  private highest = 0;
  private readonly loaded: Set<string>;

  constructor(
    models: readonly string[],
    private readonly checksFencing: boolean,
  ) {
    this.loaded = new Set(models);
  }

  get models(): string[] {
    return [...this.loaded];
  }

  /** Loads a model, unless the order is older than one already seen. */
  execute({fencing, model}: EngineOrder): Result<void> {
    if (this.checksFencing && fencing < this.highest) {
      return fail(new VmuxError(ErrorCodes.StaleFencing));
    }
    this.highest = Math.max(this.highest, fencing);
    this.loaded.add(model);
    return succeed(undefined);
  }
}
