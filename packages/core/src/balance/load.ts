/**
 * @fileoverview Load balancing: every daemon measures its own load by slice and
 * reports it to the coordinator, which moves slices off the busiest members.
 * The load of a slice, called its rate in code and messages, is the mean number
 * of slots that it keeps busy.
 */

import type {MemberId, ServiceName, Slice} from '../ids/types.js';
import type {Change, SliceMove} from '../log/types.js';
import {memberAt} from '../map/logic.js';
import type {Member, ServicePlacement} from '../map/types.js';
import type {ControlMessage} from '../messages/types.js';
import {send} from '../ownership/effects.js';
import type {OwnershipContext, OwnershipState} from '../ownership/state.js';
import {currentRanks} from '../ownership/state.js';
import {planMoves, weightBySpeed} from './logic.js';
import {planMerges} from './merges.js';
import type {Balance, MemberLoad, LoadReport} from './types.js';

/** Maximum time between two reports. */
const MAX_REPORT_INTERVAL_MS = 20_000;
/** Change of the total, as a share, that is reported without delay. */
const MIN_REPORTED_CHANGE = 0.15;
/** Maximum number of slices in a report; the busiest are reported. */
const MAX_REPORTED_SLICES = 64;
/** Rate below which a slice is no longer tracked, in busy slots. */
const MIN_SLICE_RATE = 0.0005;
/** Interval of planning while there is nothing to move. */
const CHECK_INTERVAL_MS = 1000;
/** Age from which a report is ignored. */
const MAX_REPORT_AGE_MS = 60_000;
/**
 * Load of a whole service, in busy slots, below which slices are spread by
 * their number instead of their load.
 */
const MIN_SERVICE_LOAD = 0.01;

/**
 * Finishes the measurement window once it is over, and reports the load to the
 * coordinator if it changed or a report is due.
 *
 * @param context - Context of the current input.
 */
export function reportLoad(context: OwnershipContext): void {
  const {state, at, work} = context;
  const {meter} = state.balance;
  const elapsed = at.monotonic - meter.windowStartedAt;
  if (elapsed < state.settings.tuning.balance.windowMs) return;
  meter.service = state.announcement?.service ?? meter.service;
  if (meter.service === null) return;
  meter.busyMs = work.takeBusyMs();
  finishWindow(state, elapsed);
  meter.windowStartedAt = at.monotonic;
  const total = sum(meter.rates);
  const changed =
    Math.abs(total - meter.reportedTotal) >
    MIN_REPORTED_CHANGE * meter.reportedTotal;
  const due = at.monotonic - meter.reportedAt > MAX_REPORT_INTERVAL_MS;
  if (!changed && !due) return;
  meter.reportedTotal = total;
  meter.reportedAt = at.monotonic;
  const busiest = [...meter.rates].sort((a, b) => b[1] - a[1]);
  const top = busiest.slice(0, MAX_REPORTED_SLICES);
  const message: ControlMessage = {
    kind: 'load',
    service: meter.service,
    slices: top.map(([slice]) => slice),
    rates: top.map(([, rate]) => rate),
    total,
    runMs: work.meanRunMs(),
  };
  const coordinator = currentRanks(state)[0];
  if (coordinator === state.self) {
    handleLoadReport(context, state.self, message);
  } else if (coordinator !== undefined) send(context, coordinator, message);
}

/**
 * Stores an owner's report, and drops those of former members.
 *
 * @param context - Context of the current input.
 * @param from - The owner.
 * @param message - The report.
 */
export function handleLoadReport(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'load'}>,
): void {
  const {balance, map} = context.state;
  const rates = new Map(
    message.slices.map((slice, index) => [slice, message.rates[index]]),
  );
  const {service, total, runMs} = message;
  const at = context.at.monotonic;
  balance.reports.set(from, {service, total, rates, runMs, at});
  for (const id of balance.reports.keys()) {
    if (!map.members.has(id)) balance.reports.delete(id);
  }
}

/**
 * Returns whether a service has enough load to be balanced by it.
 *
 * @param state - The ownership state.
 * @param service - The service.
 * @returns False if slices are to be spread by their number.
 */
export function hasEnoughLoad(
  state: OwnershipState,
  service: ServiceName,
): boolean {
  let total = 0;
  for (const report of state.balance.reports.values()) {
    if (report.service === service) total += report.total;
  }
  return total >= MIN_SERVICE_LOAD;
}

/**
 * Proposes moves that even out the load of a service, one round at a time.
 *
 * @param context - Context of the current input.
 * @param service - The service's placement.
 * @param candidates - Members that take new work of the service.
 * @returns The change, or null if there is nothing to move.
 */
export function proposeLoadMoves(
  context: OwnershipContext,
  service: ServicePlacement,
  candidates: readonly Member[],
): Change | null {
  const {state, at} = context;
  const {balance, map} = state;
  if (at.monotonic < balance.notBefore || service.moves.size > 0) return null;
  const maxMoves = map.configuration?.workspace.limits.maxMovingSlices ?? 0;
  const loads = weightBySpeed(
    candidates.map(member => memberLoadOf(context, service, member)),
  );
  const {hotShare, roundMs} = state.settings.tuning.balance;
  const planned = planMoves(loads, maxMoves, hotShare);
  balance.notBefore = at.monotonic + CHECK_INTERVAL_MS;
  if (planned.length === 0) return null;
  balance.notBefore = at.monotonic + roundMs;
  const moves: SliceMove[] = planned.map(({slice, to}) => {
    balance.moved.set(`${service.name}/${slice}`, at.monotonic);
    return {first: slice, count: 1, to};
  });
  dropExpiredMoves(context);
  return {kind: 'moving', service: service.name, moves};
}

/**
 * Proposes moves that join ranges of slices, if the members own too many. A
 * slice without a reported load counts as idle.
 *
 * @param context - Context of the current input.
 * @param service - The service's placement.
 * @param candidates - Members that take new work of the service.
 * @returns The change, or null if there is nothing to join.
 */
export function proposeMerges(
  context: OwnershipContext,
  service: ServicePlacement,
  candidates: readonly Member[],
): Change | null {
  const {state, at} = context;
  const {balance, map, settings} = state;
  if (service.moves.size > 0) return null;
  const rates = new Map<Slice, number>();
  for (const report of balance.reports.values()) {
    if (report.service !== service.name) continue;
    for (const [slice, rate] of report.rates) rates.set(slice, rate);
  }
  const maxMoves = map.configuration?.workspace.limits.maxMovingSlices ?? 0;
  const moves = planMerges(service, candidates, rates, maxMoves);
  if (moves.length === 0) return null;
  balance.mergeNotBefore = at.monotonic + settings.tuning.balance.stayMs;
  return {kind: 'moving', service: service.name, moves};
}

/**
 * Builds the planner's input for a member from its latest report. Slices that
 * were moved for their load within `stayMs` are left out.
 */
function memberLoadOf(
  context: OwnershipContext,
  service: ServicePlacement,
  member: Member,
): MemberLoad {
  const {balance, map, settings} = context.state;
  const {stayMs} = settings.tuning.balance;
  const now = context.at.monotonic;
  const report = balance.reports.get(member.id);
  const fresh =
    report !== undefined &&
    report.service === service.name &&
    now - report.at < MAX_REPORT_AGE_MS;
  const slices = new Map<Slice, number>();
  for (const [slice, rate] of fresh ? report.rates : []) {
    const owner = memberAt(map, service.owner[slice]);
    const movedAt = balance.moved.get(`${service.name}/${slice}`);
    const movedRecently = movedAt !== undefined && now - movedAt < stayMs;
    if (owner?.id === member.id && !movedRecently) slices.set(slice, rate);
  }
  const total = fresh ? report.total : 0;
  const capacity = Math.max(1, member.offer?.slots ?? 1);
  const slowness = slownessOf(balance, service.name, report);
  return {member: member.id, capacity, slowness, total, slices};
}

/**
 * Returns a member's mean run time over that of the service's fastest server.
 */
function slownessOf(
  {reports}: Balance,
  service: ServiceName,
  report: LoadReport | undefined,
): number {
  let fastestMs = Infinity;
  for (const each of reports.values()) {
    if (each.service !== service || each.runMs === 0) continue;
    fastestMs = Math.min(fastestMs, each.runMs);
  }
  if (report === undefined || report.runMs === 0) return 1;
  return Math.max(1, report.runMs / fastestMs);
}

function dropExpiredMoves(context: OwnershipContext): void {
  const {balance, settings} = context.state;
  const {moved} = balance;
  const {stayMs} = settings.tuning.balance;
  for (const [key, movedAt] of moved) {
    if (context.at.monotonic - movedAt >= stayMs) moved.delete(key);
  }
}

/** Averages each rate with that of the window that ends. */
function finishWindow(state: OwnershipState, elapsedMs: number): void {
  const {meter} = state.balance;
  const measured = new Set([...meter.busyMs.keys(), ...meter.rates.keys()]);
  for (const slice of measured) {
    const rate = (meter.busyMs.get(slice) ?? 0) / elapsedMs;
    const previous = meter.rates.get(slice) ?? rate;
    const smoothed = (previous + rate) / 2;
    if (smoothed < MIN_SLICE_RATE) meter.rates.delete(slice);
    else meter.rates.set(slice, smoothed);
  }
}

function sum(rates: ReadonlyMap<Slice, number>): number {
  let total = 0;
  for (const rate of rates.values()) total += rate;
  return total;
}
