import type {EngineSpec} from '../config/engine_spec.js';
import type {Backend} from '../fleet/backend.js';
import {iterationMs} from './iteration_ms.js';

/**
 * Learns the pace of an engine from the time between two events of a stream,
 * each of which ends an iteration.
 */
export function observePace(
  {work, pace, cold, coldPace}: Backend,
  spec: EngineSpec,
  {pauseMs, nowMs}: {readonly pauseMs: number; readonly nowMs: number},
): void {
  const entries = work.entries(nowMs);
  const streams = entries.filter(({decodeMs}) => decodeMs > 0);
  const contextTokens = streams.reduce(
    (sum, stream) => sum + stream.contextTokens,
    0,
  );
  const ratio = pauseMs / iterationMs(spec, streams.length, contextTokens);
  pace.observe(ratio, nowMs);
  if (!cold.isCold(nowMs)) return;
  cold.pace.observe(ratio, nowMs);
  const coldRatio = cold.pace.ratio;
  if (coldRatio !== undefined) coldPace.observe(coldRatio);
}
