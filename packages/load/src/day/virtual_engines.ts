import type {Backend, EngineSpec, PlacementDecision} from '@vanillamux/gateway';
import {VirtualEngine, type VirtualClock} from '@vanillamux/engine';
import type {DayArrival} from './day_arrival.js';

/** Called when an engine emits an event. */
type EventListener = (isLast: boolean) => void;

/** The engines of a simulated day; a backend server's id is its index. */
export class VirtualEngines {
  private readonly engines: readonly VirtualEngine[];

  constructor(
    count: number,
    private readonly spec: EngineSpec,
    clock: VirtualClock,
  ) {
    this.engines = Array.from(
      {length: count},
      () => new VirtualEngine(spec, clock),
    );
  }

  /** Changes the pace of the first `count` engines. */
  setPace(count: number, factor: number): void {
    for (const engine of this.engines.slice(0, count)) engine.pace = factor;
  }

  /** Reserves the memory that a decision asks for, all of it or none. */
  reserve({memory}: PlacementDecision): boolean {
    const granted = memory.filter(({backend, tokens}) =>
      this.engineFor(backend).reserve(tokens),
    );
    if (granted.length === memory.length) return true;
    this.releaseAll(granted);
    return false;
  }

  /** Releases the memory of a decision. */
  release({memory}: PlacementDecision): void {
    this.releaseAll(memory);
  }

  /**
   * Splits the prefill evenly over the engines; one engine generates. Returns
   * whether it has taken the request.
   */
  submit(
    arrival: DayArrival,
    {backend, helpers, memory}: PlacementDecision,
    onEvent: EventListener,
  ): boolean {
    const shareCount = helpers.length + 1;
    const prefillShare = {
      promptTokens: Math.ceil(arrival.promptTokens / shareCount),
      promptPairs: arrival.promptTokens ** 2 / 2 / shareCount,
    };
    const submitted = this.engineFor(backend).submit({
      ...prefillShare,
      outputTokens: arrival.events * this.spec.stepsPerPass,
      // Reserved memory already covers the context.
      contextTokens: memory.length > 0 ? 0 : arrival.promptTokens,
      remotePrefillShares: helpers.length,
      helperEntries: helpers.length + (memory.length > 0 ? 1 : 0),
      onEvent,
    });
    if (!submitted) return false;
    for (const helper of helpers) {
      this.engineFor(helper).submit({
        ...prefillShare,
        outputTokens: 0,
        contextTokens: 0,
        remotePrefillShares: 0,
        onPrefilled: () => submitted.completeRemoteShare(),
      });
    }
    return true;
  }

  private releaseAll(memory: PlacementDecision['memory']): void {
    for (const {backend, tokens} of memory)
      this.engineFor(backend).release(tokens);
  }

  private engineFor({presence}: Backend): VirtualEngine {
    return this.engines[Number(presence.id)]!;
  }
}
