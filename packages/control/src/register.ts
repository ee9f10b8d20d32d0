import {
  ReserveVerdict,
  type ReserveAnswer,
  type SettleAnswer,
} from './answers.js';
import type {ExpireCommand, ReserveCommand, SettleCommand} from './commands.js';
import type {Reservation} from './reservation.js';
import {ReservationState} from './reservation_state.js';
import {SettleOutcome} from './settle_outcome.js';

const DEFAULT_MAX_KEYS_PER_WORKSPACE = 100_000;

interface RegisterKey {
  readonly workspace: string;
  readonly service: string;
  readonly key: string;
}

/**
 * The register of at-most-once requests: one reservation per workspace,
 * service and idempotency key.
 */
export class Register {
  private readonly reservations = new Map<string, Reservation>();
  private readonly keysOfWorkspace = new Map<string, number>();

  constructor(
    private readonly maxKeysPerWorkspace = DEFAULT_MAX_KEYS_PER_WORKSPACE,
  ) {}

  /** Reserves a key. Repeating the command of one request changes nothing. */
  reserve(command: ReserveCommand): ReserveAnswer {
    const held = this.reservations.get(encodeKey(command));
    if (held) return answerHeld(held, command);
    const keys = this.keysOfWorkspace.get(command.workspace) ?? 0;
    if (keys >= this.maxKeysPerWorkspace) {
      return {verdict: ReserveVerdict.Full};
    }
    this.put({
      workspace: command.workspace,
      service: command.service,
      key: command.key,
      digest: command.digest,
      requestId: command.requestId,
      entry: command.entry,
      reservedAtMs: command.atMs,
      leaseEndsAtMs: command.atMs + command.leaseMs,
      retentionMs: command.retentionMs,
      state: ReservationState.Running,
    });
    return {verdict: ReserveVerdict.Granted, requestId: command.requestId};
  }

  /** Settles a reservation; a final outcome is never changed. */
  settle(command: SettleCommand): SettleAnswer {
    const held = this.reservations.get(encodeKey(command));
    if (!held || held.requestId !== command.requestId) return {settled: false};
    if (held.state === ReservationState.Done) {
      return {settled: true, state: held.state};
    }
    if (command.outcome === SettleOutcome.NotRun) {
      return this.release(held, command);
    }
    const state =
      command.outcome === SettleOutcome.Done
        ? ReservationState.Done
        : ReservationState.Unknown;
    this.put({
      ...held,
      state,
      settledAtMs: command.atMs,
      answer: command.answer,
      operator: command.operator || undefined,
    });
    return {settled: true, state};
  }

  /** Marks overdue reservations unknown; forgets answers past retention. */
  expire({atMs}: ExpireCommand): void {
    for (const held of this.reservations.values()) {
      if (held.state === ReservationState.Running) {
        if (held.leaseEndsAtMs >= atMs) continue;
        this.put({
          ...held,
          state: ReservationState.Unknown,
          settledAtMs: atMs,
        });
      } else if (held.state === ReservationState.Done) {
        const settledAtMs = held.settledAtMs ?? held.reservedAtMs;
        if (settledAtMs + held.retentionMs < atMs) this.remove(held);
      }
    }
  }

  /** Whether `expire` at this time would change anything. */
  hasExpired(atMs: number): boolean {
    for (const held of this.reservations.values()) {
      const running = held.state === ReservationState.Running;
      if (running && held.leaseEndsAtMs < atMs) return true;
      const done = held.state === ReservationState.Done;
      const settledAtMs = held.settledAtMs ?? held.reservedAtMs;
      if (done && settledAtMs + held.retentionMs < atMs) return true;
    }
    return false;
  }

  /** Returns one reservation. */
  get(key: RegisterKey): Reservation | undefined {
    return this.reservations.get(encodeKey(key));
  }

  /** Returns every reservation. */
  list(): Reservation[] {
    return [...this.reservations.values()];
  }

  /** Replaces the content, from a snapshot. */
  load(reservations: readonly Reservation[]): void {
    this.reservations.clear();
    this.keysOfWorkspace.clear();
    for (const reservation of reservations) this.put(reservation);
  }

  /**
   * An unknown outcome is released only by an operator: the entry host that
   * reported it unknown cannot later know that nothing left.
   */
  private release(held: Reservation, command: SettleCommand): SettleAnswer {
    const unknown = held.state === ReservationState.Unknown;
    if (unknown && !command.operator) {
      return {settled: false, state: held.state};
    }
    this.remove(held);
    return {settled: true};
  }

  private put(reservation: Reservation): void {
    const encoded = encodeKey(reservation);
    if (!this.reservations.has(encoded)) this.count(reservation.workspace, 1);
    this.reservations.set(encoded, reservation);
  }

  private remove(reservation: Reservation): void {
    this.reservations.delete(encodeKey(reservation));
    this.count(reservation.workspace, -1);
  }

  private count(workspace: string, change: number): void {
    const keys = (this.keysOfWorkspace.get(workspace) ?? 0) + change;
    if (keys > 0) this.keysOfWorkspace.set(workspace, keys);
    else this.keysOfWorkspace.delete(workspace);
  }
}

function answerHeld(held: Reservation, command: ReserveCommand): ReserveAnswer {
  const {requestId, state, answer} = held;
  if (requestId === command.requestId) {
    return {verdict: ReserveVerdict.Granted, requestId};
  }
  if (held.digest !== command.digest) {
    return {verdict: ReserveVerdict.OtherBody, requestId};
  }
  return {verdict: ReserveVerdict.Held, state, requestId, answer};
}

function encodeKey({workspace, service, key}: RegisterKey): string {
  return JSON.stringify([workspace, service, key]);
}
