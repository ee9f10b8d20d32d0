import {RefusalReason} from './refusal_reason.js';

/** Returns the text that tells a client why it was refused. */
export function refusalText(reason: RefusalReason): string {
  switch (reason) {
    case RefusalReason.Backlog:
      return 'the backlog of the engines exceeds the goal';
    case RefusalReason.Price:
      return 'the service has too little room for the request';
  }
}
