import type {Member} from '@vanillamux/consensus';
import type {ControlHost} from './control_host.js';
import type {GroupCommandLevel} from './group_command_level.js';

/** Interval at which members without a recorded level are asked for it. */
const ASK_INTERVAL_MS = 10_000;

/**
 * Finds out the levels of members that were updated in place and so joined
 * without one. Recorded in the list of members, they count while a host is down.
 */
export class MemberLevelRecorder {
  private askedMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly host: Pick<ControlHost, 'node'>,
    private readonly level: Pick<GroupCommandLevel, 'stated'>,
  ) {}

  /** Returns the members with new levels; `undefined` if there are none. */
  async refresh(nowMs: number): Promise<readonly Member[] | undefined> {
    const isComplete = this.members.every(
      ({commandLevel}) => commandLevel !== undefined,
    );
    if (isComplete || nowMs - this.askedMs < ASK_INTERVAL_MS) return undefined;
    this.askedMs = nowMs;
    const stated = new Map(
      (await this.level.stated()).map(({id, commandLevel}) => [
        id,
        commandLevel,
      ]),
    );
    // The list may have changed meanwhile.
    const {members} = this;
    const updated = members.map(member => ({
      ...member,
      commandLevel: stated.get(member.id) ?? member.commandLevel,
    }));
    const isNew = updated.some(
      ({commandLevel}, at) => commandLevel !== members[at]!.commandLevel,
    );
    return isNew ? updated : undefined;
  }

  private get members(): readonly Member[] {
    return this.host.node.status().members;
  }
}
