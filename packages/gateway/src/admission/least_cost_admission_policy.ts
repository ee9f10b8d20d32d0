import type {EngineSpec} from '../config/engine_spec.js';
import {iterationMs} from '../placement/iteration_ms.js';
import {admissionCost, type AdmissionCost} from './admission_cost.js';
import {AdmissionFloor} from './admission_floor.js';
import {AdmissionPolicy} from './admission_policy.js';
import type {AdmissionRefusal} from './admission_refusal.js';
import type {AdmissionRequest} from './admission_request.js';
import {isKeptPastGoal} from './is_kept_past_goal.js';
import {RefusalReason} from './refusal_reason.js';
import {returnTimeMs} from './return_time_ms.js';
import {serviceRoom, type ServiceRoom} from './service_room.js';
import {TypicalDensities} from './typical_densities.js';
import type {Urgency} from './urgency.js';
import {WorkspaceShares} from './workspace_shares.js';

/** Share of all slots from which on room has a price. */
const SCARCE_OCCUPANCY = 0.75;
/** Share of all slots at which the price reaches the most that a request pays. */
const FULL_OCCUPANCY = 1;
/**
 * Least and most that a request pays for a millisecond of engine time, relative
 * to the typical request. A request beyond these bounds pays like one at them.
 */
const MIN_WORTH = 0.6;
const MAX_WORTH = 1.6;
/** Most by which a route differs from the others for its requests' sizes. */
const MAX_ROUTE_FACTOR = 1.15;
/**
 * Share of all slots by which the price sets in later for each less urgent
 * priority, and earlier for each more urgent one.
 */
const URGENCY_STEP = 0.1;
/** Credit a millisecond of a request that names no tokens. */
const MIN_DENSITY = 1e-6;
/**
 * Priorities above and below a request that count: room has a price for none
 * while half of the slots are free.
 */
const MAX_LEVELS = 2;
/** Share of the goal of urgent requests that less urgent ones may queue up. */
const URGENT_GOAL_SHARE = 0.65;
/** Binary logarithm of the factor between sizes of prompts of two groups. */
const SIZE_BAND = 2;
/** Iterations that the placement predicts for each sequence without a slot. */
const PREDICTED_SLOT_ITERATIONS = 2;

/**
 * Refuses what costs callers least while a service has too little room, as when
 * more streams arrive than its engines have slots. Room then has a price, which
 * grows with the share of slots that is taken. A request that costs its caller
 * less than that for each millisecond of engine time is refused at once.
 */
export class LeastCostAdmissionPolicy extends AdmissionPolicy {
  private readonly densities = new TypicalDensities();
  private readonly shares = new WorkspaceShares();
  private readonly floor: AdmissionFloor;

  constructor(private readonly random: () => number = Math.random) {
    super();
    this.floor = new AdmissionFloor(random);
  }

  refuse(request: AdmissionRequest): AdmissionRefusal | undefined {
    const {service, prediction, metadata, urgency, nowMs} = request;
    const spec = service.engine;
    if (!prediction || !spec) return undefined;
    const {backends} = request;
    if (backends.length === 0) return undefined;
    const urgentGoalMs = urgency.urgentGoalMs ?? Infinity;
    const queueMs = URGENT_GOAL_SHARE * urgentGoalMs;
    const room = serviceRoom(spec, backends, queueMs, nowMs);
    const cost = admissionCost(spec, metadata);
    const worth = this.worth(request, cost, room);
    const price = priceOf(Math.max(room.occupancy, room.queueShare), urgency);
    const firstEventMs =
      prediction.firstEventMs + unpredictedWaitMs(spec, room.slotWaitMs);
    const isLate = isKeptPastGoal(
      {...prediction, firstEventMs},
      request.latencyGoalMs,
    );
    const groups = groupsOf(request);
    const isAdmitted =
      !isLate && (worth >= price || this.floor.isBelow(groups));
    if (!request.isRepeated) {
      this.floor.add(groups, isAdmitted);
      if (isAdmitted) this.shares.add(request.workspace, cost.engineMs, nowMs);
    }
    if (isAdmitted) return undefined;
    const backlogMs = firstEventMs - prediction.idleFirstEventMs;
    return {
      reason: isLate ? RefusalReason.Backlog : RefusalReason.Price,
      returnMs: returnTimeMs(backlogMs, this.random),
      inputs: {worth, price, ...room, ...cost},
    };
  }

  /** What a request pays for engine time, relative to the typical request. */
  private worth(
    {route, workspace, isRepeated, nowMs}: AdmissionRequest,
    {refusalCost, engineMs}: AdmissionCost,
    room: ServiceRoom,
  ): number {
    const density = Math.max(MIN_DENSITY, refusalCost / Math.max(1, engineMs));
    const typical = isRepeated
      ? this.densities.typicalOf(route, density)
      : this.densities.add(route, density);
    const routeFactor = room.density > 0 ? typical / room.density : 1;
    const worth =
      (density / typical) *
      clamp(routeFactor, 1 / MAX_ROUTE_FACTOR, MAX_ROUTE_FACTOR) *
      this.shares.factor(workspace, nowMs);
    return clamp(worth, MIN_WORTH, MAX_WORTH);
  }
}

/** Groups of which none is starved: routes by the size of prompts, workspaces. */
function groupsOf({route, metadata, workspace}: AdmissionRequest): string[] {
  const band = Math.floor(Math.log2(metadata.promptTokens + 1) / SIZE_BAND);
  const sizes = `${route}/${band}`;
  return workspace === undefined ? [sizes] : [sizes, `@${workspace}`];
}

/** Price of room; 0 while it is not scarce. */
function priceOf(
  occupancy: number,
  {levelsBelow, levelsAbove}: Urgency,
): number {
  const levels =
    Math.min(MAX_LEVELS, levelsBelow) - Math.min(MAX_LEVELS, levelsAbove);
  const scarcity =
    (occupancy - SCARCE_OCCUPANCY - URGENCY_STEP * levels) /
    (FULL_OCCUPANCY - SCARCE_OCCUPANCY);
  return scarcity <= 0 ? 0 : MIN_WORTH + (MAX_WORTH - MIN_WORTH) * scarcity;
}

/** Wait for a slot beyond what the placement predicts. */
function unpredictedWaitMs(spec: EngineSpec, slotWaitMs: number): number {
  if (slotWaitMs === 0) return 0;
  const predictedMs =
    PREDICTED_SLOT_ITERATIONS * iterationMs(spec, spec.batchSize, 0);
  return Math.max(0, slotWaitMs - predictedMs);
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
