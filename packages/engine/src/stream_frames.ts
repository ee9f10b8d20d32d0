import type {ServerResponse} from 'node:http';
import {FrameKind, type Frame} from '@vanillamux/protocol';
import {monotonicMs} from '@vanillamux/shared';
import {FaultKind} from './fault_kind.js';
import type {FaultSwitch} from './fault_switch.js';
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
  faults: FaultSwitch,
): void {
  let silenced = false;
  const send = (frame: Frame): void => {
    if (faults.isActive(FaultKind.Silence)) silenced = true;
    if (silenced) return;
    res.write(`${JSON.stringify(frame)}\n`);
    if (frame.kind === FrameKind.Done || frame.kind === FrameKind.Error) {
      res.end();
    }
  };
  res.writeHead(200, {'content-type': 'application/x-ndjson'});
  res.flushHeaders();
  sequence.readers++;
  const {requestId, attempt} = sequence.request;
  const heartbeat = setInterval(
    () =>
      send({
        kind: FrameKind.Heartbeat,
        requestId,
        attempt,
        index: sequence.produced,
        text: '',
      }),
    HEARTBEAT_INTERVAL_MS,
  );
  const stopListening = sequence.listen(send);
  res.on('close', () => {
    clearInterval(heartbeat);
    stopListening();
    sequence.readers--;
    sequence.readerLostMs = monotonicMs();
  });
  for (const frame of sequence.frames) {
    if (frame.index >= fromIndex) send(frame);
  }
}
