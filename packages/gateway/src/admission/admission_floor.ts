/** Groups that are remembered; the one that was not used longest makes room. */
const MAX_GROUPS = 1_024;
/** Requests after which an earlier one has lost most of its weight. */
const MAX_WEIGHT = 50;
/**
 * Share that a group gets admitted, relative to that of all requests, below which
 * it is helped: with a margin above a half, as help comes one request late.
 */
const MIN_RELATIVE_SHARE = 0.6;

/** Requests, one more than decided, from which on a group's share is known. */
const MIN_COUNT = 4;

interface Group {
  count: number;
  /** Share of the requests that were admitted. */
  share: number;
}

/**
 * Keeps every group of requests, as those of one route, above half of the share
 * that is admitted of all. Counts what this host has decided.
 */
export class AdmissionFloor {
  private readonly groups = new Map<string, Group>();
  private readonly all: Group = {count: 1, share: 1};

  constructor(private readonly random: () => number) {}

  /**
   * Whether one of the groups gets less than its floor. A lot decides for a
   * first group that this host hardly knows, as others may have refused it.
   */
  isBelow(groups: readonly string[]): boolean {
    const floor = MIN_RELATIVE_SHARE * this.all.share;
    const first = this.groups.get(groups[0] ?? '');
    if ((first?.count ?? 0) < MIN_COUNT && this.random() < floor) return true;
    return groups.some(name => (this.groups.get(name)?.share ?? 1) < floor);
  }

  /** Counts a decision on a request of these groups. */
  add(groups: readonly string[], isAdmitted: boolean): void {
    count(this.all, isAdmitted);
    for (const name of groups) {
      const group = this.groups.get(name) ?? {count: 1, share: 1};
      count(group, isAdmitted);
      this.groups.delete(name);
      this.groups.set(name, group);
    }
    for (const name of this.groups.keys()) {
      if (this.groups.size <= MAX_GROUPS) break;
      this.groups.delete(name);
    }
  }
}

function count(group: Group, isAdmitted: boolean): void {
  group.count = Math.min(MAX_WEIGHT, group.count + 1);
  group.share += (Number(isAdmitted) - group.share) / group.count;
}
