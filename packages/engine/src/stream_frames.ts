import type {ServerResponse} from 'node:http';
import {FrameKind, type Frame} from '@vanillamux/protocol';
import {monotonicMs} from '@vanillamux/shared';
import {FaultKind} from './fault_kind.js';
import type {FaultInjector} from './fault_injector.js';
import type {Sequence} from './sequence.js';

const HEARTBEAT_INTERVAL_MS = 250;

/**
 * Streams the frames of a sequence from `fromIndex` on as newline-delimited
 * JSON, with heartbeats while there is nothing else to send.
 */
export function streamFrames(
  res: ServerResponse,
  sequence: Sequence,
  fromIndex: number,
  faults: FaultInjector,
): void {
  let isSilenced = false;
  const sendFrame = (frame: Frame): void => {
    if (faults.isActive(FaultKind.SilenceStreams)) isSilenced = true;
    if (isSilenced) return;
    res.write(`${JSON.stringify(frame)}\n`);
    if (frame.kind === FrameKind.Done || frame.kind === FrameKind.Error) {
      res.end();
    }
  };
  res.writeHead(200, {'content-type': 'application/x-ndjson'});
  res.flushHeaders();
  sequence.readerCount++;
  const {requestId, attempt} = sequence.request;
  const heartbeat = setInterval(
    () =>
      sendFrame({
        kind: FrameKind.Heartbeat,
        requestId,
        attempt,
        index: sequence.nextTokenIndex,
        text: '',
      }),
    HEARTBEAT_INTERVAL_MS,
  );
  const unsubscribe = sequence.subscribe(sendFrame);
  res.on('close', () => {
    clearInterval(heartbeat);
    unsubscribe();
    sequence.readerCount--;
    sequence.lastReaderClosedMs = monotonicMs();
  });
  for (const frame of sequence.frames) {
    if (frame.index >= fromIndex) sendFrame(frame);
  }
}
