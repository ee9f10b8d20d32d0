import {
  ReserveVerdict,
  type ReserveResult,
  type SettleResult,
} from './command_results.js';
import type {ExpireCommand, ReserveCommand, SettleCommand} from './commands.js';
import type {Reservation} from './reservation.js';
import {ReservationState} from './reservation_state.js';
import {SettleOutcome} from './settle_outcome.js';

const DEFAULT_MAX_KEYS_PER_WORKSPACE = 100_000;

interface ReservationKey {
  readonly workspace: string;
  readonly service: string;
  readonly key: string;
}

/**
 * The register of at-most-once requests: one reservation per workspace,
 * service and idempotency key.
 */
export class ReservationRegistry {
  private readonly reservations = new Map<string, Reservation>();
  private readonly keyCountByWorkspace = new Map<string, number>();

  constructor(
    private readonly maxKeysPerWorkspace = DEFAULT_MAX_KEYS_PER_WORKSPACE,
  ) {}

  /** Reserves a key. Repeating the command of one request changes nothing. */
  reserve(command: ReserveCommand): ReserveResult {
    const existing = this.reservations.get(encodeKey(command));
    if (existing) return describeExisting(existing, command);
    const keyCount = this.keyCountByWorkspace.get(command.workspace) ?? 0;
    if (keyCount >= this.maxKeysPerWorkspace) {
      return {verdict: ReserveVerdict.KeyLimitReached};
    }
    this.store({
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
  settle(command: SettleCommand): SettleResult {
    const reservation = this.reservations.get(encodeKey(command));
    if (!reservation || reservation.requestId !== command.requestId)
      return {settled: false};
    if (reservation.state === ReservationState.Done) {
      return {settled: true, state: reservation.state};
    }
    if (command.outcome === SettleOutcome.NotRun) {
      return this.release(reservation, command);
    }
    const state =
      command.outcome === SettleOutcome.Done
        ? ReservationState.Done
        : ReservationState.Unknown;
    this.store({
      ...reservation,
      state,
      settledAtMs: command.atMs,
      answer: command.answer,
      operator: command.operator || undefined,
    });
    return {settled: true, state};
  }

  /** Marks overdue reservations unknown; forgets answers past retention. */
  expire({atMs}: ExpireCommand): void {
    for (const reservation of this.reservations.values()) {
      if (reservation.state === ReservationState.Running) {
        if (reservation.leaseEndsAtMs >= atMs) continue;
        this.store({
          ...reservation,
          state: ReservationState.Unknown,
          settledAtMs: atMs,
        });
      } else if (reservation.state === ReservationState.Done) {
        const settledAtMs = reservation.settledAtMs ?? reservation.reservedAtMs;
        if (settledAtMs + reservation.retentionMs < atMs)
          this.remove(reservation);
      }
    }
  }

  /** Whether `expire` at this time would change anything. */
  needsExpiry(atMs: number): boolean {
    for (const reservation of this.reservations.values()) {
      const isRunning = reservation.state === ReservationState.Running;
      if (isRunning && reservation.leaseEndsAtMs < atMs) return true;
      const isDone = reservation.state === ReservationState.Done;
      const settledAtMs = reservation.settledAtMs ?? reservation.reservedAtMs;
      if (isDone && settledAtMs + reservation.retentionMs < atMs) return true;
    }
    return false;
  }

  /** Returns one reservation. */
  get(key: ReservationKey): Reservation | undefined {
    return this.reservations.get(encodeKey(key));
  }

  /** Returns every reservation. */
  list(): Reservation[] {
    return [...this.reservations.values()];
  }

  /** Replaces the content, from a snapshot. */
  load(reservations: readonly Reservation[]): void {
    this.reservations.clear();
    this.keyCountByWorkspace.clear();
    for (const reservation of reservations) this.store(reservation);
  }

  /**
   * An unknown outcome is released only by an operator: the entry host that
   * reported it unknown cannot later know that nothing left.
   */
  private release(
    reservation: Reservation,
    command: SettleCommand,
  ): SettleResult {
    const isUnknown = reservation.state === ReservationState.Unknown;
    if (isUnknown && !command.operator) {
      return {settled: false, state: reservation.state};
    }
    this.remove(reservation);
    return {settled: true};
  }

  private store(reservation: Reservation): void {
    const encodedKey = encodeKey(reservation);
    if (!this.reservations.has(encodedKey))
      this.changeKeyCount(reservation.workspace, 1);
    this.reservations.set(encodedKey, reservation);
  }

  private remove(reservation: Reservation): void {
    this.reservations.delete(encodeKey(reservation));
    this.changeKeyCount(reservation.workspace, -1);
  }

  private changeKeyCount(workspace: string, change: number): void {
    const keyCount = (this.keyCountByWorkspace.get(workspace) ?? 0) + change;
    if (keyCount > 0) this.keyCountByWorkspace.set(workspace, keyCount);
    else this.keyCountByWorkspace.delete(workspace);
  }
}

function describeExisting(
  existing: Reservation,
  command: ReserveCommand,
): ReserveResult {
  const {requestId, state, answer} = existing;
  if (requestId === command.requestId) {
    return {verdict: ReserveVerdict.Granted, requestId};
  }
  if (existing.digest !== command.digest) {
    return {verdict: ReserveVerdict.BodyMismatch, requestId};
  }
  return {verdict: ReserveVerdict.Held, state, requestId, answer};
}

function encodeKey({workspace, service, key}: ReservationKey): string {
  return JSON.stringify([workspace, service, key]);
}
