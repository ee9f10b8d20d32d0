import {sleep} from '@vanillamux/shared';

/**
 * Longest wait for another fetch; a control host that is not overloaded takes
 * less.
 */
const MAX_WAIT_MS = 250;

/** Lets links fetch the configuration in turn, as one copy is enough. */
export class FetchTurns {
  private last: Promise<void> = Promise.resolve();

  /** Runs `fetch` when those before have ended, or take long. */
  run(fetch: () => Promise<void>): Promise<void> {
    const {last} = this;
    this.last = waitFor(last).then(fetch);
    return this.last;
  }
}

async function waitFor(fetch: Promise<void>): Promise<void> {
  const timer = new AbortController();
  await Promise.race([fetch, sleep(MAX_WAIT_MS, timer.signal)]);
  timer.abort();
}
