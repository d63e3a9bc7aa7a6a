/**
 * @fileoverview Expected completion of a request at a server of a shared
 * service, for scheduling by cost. It combines the work that the server
 * reported, the work that this daemon sent since, and the cost of the request
 * at that server's speed.
 *
 * Load it is made for: 13 to 16 servers whose speeds differ by factors of 0.6 to
 * 1.6, with kinds of 78 to 351 ms in one service.
 */

import {expectedCostMs, recordCost, serviceCostMs} from '../costs/logic.js';
import type {CostKey, WorkReport} from '../costs/types.js';
import type {AttemptId} from '../ids/types.js';
import type {SelectionState, ServerStats} from './types.js';

/** Age up to which a report of work counts fully, in milliseconds. */
const FRESH_REPORT_MS = 2000;
/** Weight of a report in a server's slowness; each is an estimate itself. */
const SLOWNESS_WEIGHT = 0.2;
/** Bounds of a server's slowness; a report outside of them is an error. */
const MIN_SLOWNESS = 0.1;
const MAX_SLOWNESS = 10;

/** What the completion at a server depends on. */
export interface CompletionContext {
  readonly key: CostKey;
  /** Concurrent runs of the server. */
  readonly slots: number;
  /** Attempts that wait or run there, as far as this daemon knows. */
  readonly outstanding: number;
  /** Monotonic time, in milliseconds. */
  readonly now: number;
  /** Half-life of a report that isn't fresh, in milliseconds. */
  readonly halfLifeMs: number;
}

/**
 * Estimates when a request would end at a server.
 *
 * @param selection - Statistics of servers, and the learned costs.
 * @param known - Statistics of the server, if there are any.
 * @param context - The request, the server's size and the time.
 * @returns Milliseconds from now; 0 if the cost is unknown, so that servers
 *     must be compared by counts.
 */
export function expectedCompletionMs(
  selection: SelectionState,
  known: ServerStats | undefined,
  context: CompletionContext,
): number {
  const {key, now, slots} = context;
  const costMs = expectedCostMs(selection.costs, key);
  if (known === undefined || costMs === 0) return costMs;
  const {slowness, reportedWorkMs, workReportedAt} = known;
  const meanMs = serviceCostMs(selection.costs, key.service) * slowness;
  const countedMs = (context.outstanding * meanMs) / slots;
  const sentMs = (sentSince(known, workReportedAt) * slowness) / slots;
  const staleMs = Math.max(0, now - workReportedAt - FRESH_REPORT_MS);
  const weight = 0.5 ** (staleMs / context.halfLifeMs);
  const workMs = (reportedWorkMs + sentMs) * weight + countedMs * (1 - weight);
  return workMs + costMs * slowness;
}

/**
 * Records the cost of an attempt that was sent.
 *
 * @param selection - Statistics of servers, and the learned costs.
 * @param server - Statistics of its server.
 * @param attempt - The attempt.
 * @param key - Service and class of the request.
 */
export function recordSentCost(
  selection: SelectionState,
  server: ServerStats,
  attempt: AttemptId,
  key: CostKey,
): void {
  const costMs = expectedCostMs(selection.costs, key);
  if (costMs > 0) server.sentCosts.set(attempt, costMs);
}

/**
 * Records a report of a server's work, and learns the cost of the request and
 * the server's speed from it.
 *
 * @param selection - Statistics of servers, and the learned costs.
 * @param server - Statistics of the server.
 * @param key - Service and class of the request that the report came with.
 * @param report - The report; `expectedMs` is 0 for a failed attempt.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordWork(
  selection: SelectionState,
  server: ServerStats,
  key: CostKey,
  report: WorkReport,
  now: number,
): void {
  const {workMs, expectedMs} = report;
  server.reportedWorkMs = workMs;
  server.workReportedAt = now;
  if (expectedMs === 0) return;
  const usualMs = expectedCostMs(selection.costs, key);
  if (usualMs > 0) {
    const ratio = expectedMs / usualMs;
    const next = server.slowness + (ratio - server.slowness) * SLOWNESS_WEIGHT;
    server.slowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, next));
  }
  recordCost(selection.costs, key, expectedMs);
}

/** Cost of the open attempts that were sent after a time, in milliseconds. */
function sentSince({outstanding, sentCosts}: ServerStats, at: number): number {
  let totalMs = 0;
  for (const [attempt, costMs] of sentCosts) {
    if ((outstanding.get(attempt) ?? -Infinity) > at) totalMs += costMs;
  }
  return totalMs;
}
