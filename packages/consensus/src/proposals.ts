import {
  Deferred,
  ErrorCodes,
  fail,
  RunState,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';

interface Proposal {
  readonly term: number;
  readonly outcome: Deferred<Result<unknown>>;
}

/** Proposals of this leader that are not yet applied, by log index. */
export class Proposals {
  private readonly waiting = new Map<number, Proposal>();

  get size(): number {
    return this.waiting.size;
  }

  /** Waits for the entry at `index`, appended in `term`, to be applied. */
  wait(index: number, term: number): Promise<Result<unknown>> {
    const outcome = new Deferred<Result<unknown>>();
    this.waiting.set(index, {term, outcome});
    return outcome.promise;
  }

  /** Answers the proposer of an applied entry. */
  settle(index: number, term: number, answer: unknown): void {
    const proposal = this.waiting.get(index);
    if (!proposal) return;
    this.waiting.delete(index);
    proposal.outcome.resolve(
      proposal.term === term ? succeed(answer) : fail(outcomeUnknown()),
    );
  }

  /** Answers every proposer that its outcome is unknown to this member. */
  abandon(): void {
    for (const {outcome} of this.waiting.values()) {
      outcome.resolve(fail(outcomeUnknown()));
    }
    this.waiting.clear();
  }
}

function outcomeUnknown(): VmuxError {
  return new VmuxError(ErrorCodes.NotLeader, {
    message: 'leadership was lost before the command was committed',
    ran: RunState.Unknown,
  });
}
