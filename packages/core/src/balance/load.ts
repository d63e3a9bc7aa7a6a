/** @fileoverview Measuring own load, reporting it, and moving for load. */

import type {MemberId, ServiceName, Slice} from '../ids/types.js';
import type {Change, SliceMove} from '../log/types.js';
import {memberAt} from '../map/logic.js';
import type {Member, ServicePlacement} from '../map/types.js';
import type {ControlMessage} from '../messages/types.js';
import {send} from '../ownership/effects.js';
import type {OwnershipContext, OwnershipState} from '../ownership/state.js';
import {currentRanks} from '../ownership/state.js';
import {planMoves} from './logic.js';
import type {Balance, MemberLoad, LoadReport} from './types.js';

/** Longest time between two reports. */
const REPORT_MS = 20_000;
/** A total that differs this much is reported at once. */
const NEWS_SHARE = 0.15;
/** Hottest slices in a report. */
const REPORTED_SLICES = 16;
/** Slots kept busy by a slice below which it is forgotten. */
const LEAST_RATE = 0.0005;
/** Time between two looks while nothing is to be moved. */
const LOOK_MS = 1000;
/** Age at which a report counts no more. */
const OLD_MS = 60_000;
/** Busy slots of a whole service below which the number of slices decides. */
const LEAST_TOTAL = 0.01;

/**
 * Ends windows and reports to the coordinator.
 *
 * @param context - The step.
 */
export function reportLoad(context: OwnershipContext): void {
  const {state, at, work} = context;
  const {meter} = state.balance;
  const elapsed = at.monotonic - meter.windowStartedAt;
  if (elapsed < state.settings.tuning.balance.windowMs) return;
  meter.service = state.announcement?.service ?? meter.service;
  if (meter.service === null) return;
  meter.busyMs = work.takeBusyMs();
  closeWindow(state, elapsed);
  meter.windowStartedAt = at.monotonic;
  const total = sum(meter.rates);
  const changed =
    Math.abs(total - meter.reportedTotal) > NEWS_SHARE * meter.reportedTotal;
  const due = at.monotonic - meter.reportedAt > REPORT_MS;
  if (!changed && !due) return;
  meter.reportedTotal = total;
  meter.reportedAt = at.monotonic;
  const hottest = [...meter.rates].sort((a, b) => b[1] - a[1]);
  const top = hottest.slice(0, REPORTED_SLICES);
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
 * Takes an owner's report.
 *
 * @param context - The step.
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
 * Tells whether reports say enough for moves by load.
 *
 * @param state - The state.
 * @param service - The service.
 * @returns Whether there is work that is worth balancing.
 */
export function hasEnoughLoad(
  state: OwnershipState,
  service: ServiceName,
): boolean {
  let total = 0;
  for (const report of state.balance.reports.values()) {
    if (report.service === service) total += report.total;
  }
  return total >= LEAST_TOTAL;
}

/**
 * Plans moves of one service by load.
 *
 * @param context - The step.
 * @param service - The service's placement.
 * @param candidates - Members that take its work.
 * @returns The change, or null.
 */
export function proposeLoadMoves(
  context: OwnershipContext,
  service: ServicePlacement,
  candidates: readonly Member[],
): Change | null {
  const {state, at} = context;
  const {balance, map} = state;
  if (at.monotonic < balance.notBefore || service.moves.size > 0) return null;
  const budget = map.configuration?.workspace.limits.maxMovingSlices ?? 0;
  const loads = candidates.map(member => loadOf(context, service, member));
  const {hotShare, roundMs} = state.settings.tuning.balance;
  const planned = planMoves(loads, budget, hotShare);
  balance.notBefore = at.monotonic + LOOK_MS;
  if (planned.length === 0) return null;
  balance.notBefore = at.monotonic + roundMs;
  const moves: SliceMove[] = planned.map(({slice, to}) => {
    balance.moved.set(`${service.name}/${slice}`, at.monotonic);
    return {first: slice, count: 1, to};
  });
  forgetMoved(context);
  return {kind: 'moving', service: service.name, moves};
}

function loadOf(
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
    now - report.at < OLD_MS;
  const slices = new Map<Slice, number>();
  for (const [slice, rate] of fresh ? report.rates : []) {
    const owner = memberAt(map, service.owner[slice]);
    const movedAt = balance.moved.get(`${service.name}/${slice}`);
    const stays = movedAt !== undefined && now - movedAt < stayMs;
    if (owner?.id === member.id && !stays) slices.set(slice, rate);
  }
  const total = fresh ? report.total : 0;
  const slots = Math.max(1, member.offer?.slots ?? 1);
  const slowness = slownessOf(balance, service.name, report);
  const capacity = slots / slowness;
  return {member: member.id, capacity, slowness, total, slices};
}

/**
 * How much longer runs take than at the fastest server of the service: of two
 * servers with room, the faster one answers sooner.
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

function forgetMoved(context: OwnershipContext): void {
  const {balance, settings} = context.state;
  const {moved} = balance;
  const {stayMs} = settings.tuning.balance;
  for (const [key, movedAt] of moved) {
    if (context.at.monotonic - movedAt >= stayMs) moved.delete(key);
  }
}

function closeWindow(state: OwnershipState, elapsedMs: number): void {
  const {meter} = state.balance;
  const seen = new Set([...meter.busyMs.keys(), ...meter.rates.keys()]);
  for (const slice of seen) {
    const rate = (meter.busyMs.get(slice) ?? 0) / elapsedMs;
    const known = meter.rates.get(slice) ?? rate;
    const smoothed = (known + rate) / 2;
    if (smoothed < LEAST_RATE) meter.rates.delete(slice);
    else meter.rates.set(slice, smoothed);
  }
}

function sum(rates: ReadonlyMap<Slice, number>): number {
  let total = 0;
  for (const rate of rates.values()) total += rate;
  return total;
}
