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
export class PendingProposals {
  private readonly proposals = new Map<number, Proposal>();

  get size(): number {
    return this.proposals.size;
  }

  /** Waits for the entry at `index`, appended in `term`, to be applied. */
  waitUntilApplied(index: number, term: number): Promise<Result<unknown>> {
    const outcome = new Deferred<Result<unknown>>();
    this.proposals.set(index, {term, outcome});
    return outcome.promise;
  }

  /** Answers the proposer of an applied entry. */
  complete(index: number, term: number, result: unknown): void {
    const proposal = this.proposals.get(index);
    if (!proposal) return;
    this.proposals.delete(index);
    proposal.outcome.resolve(
      proposal.term === term
        ? succeed(result)
        : fail(createOutcomeUnknownError()),
    );
  }

  /** Answers every proposer that its outcome is unknown to this member. */
  failAll(): void {
    for (const {outcome} of this.proposals.values()) {
      outcome.resolve(fail(createOutcomeUnknownError()));
    }
    this.proposals.clear();
  }
}

function createOutcomeUnknownError(): VmuxError {
  return new VmuxError(ErrorCodes.NotLeader, {
    message: 'leadership was lost before the command was committed',
    ran: RunState.Unknown,
  });
}
