/**
 * @fileoverview Learns the run time of requests by cost class, and the present
 * speed of a backend server.
 *
 * Load it is made for: servers of 6 to 18 slots with 10 to 100 runs a second,
 * kinds with means of 78 to 351 ms, run times of seven times the mean in 3 of
 * 100, and neighbours that slow a server by a factor of three for 0.4 s, a
 * fifth of the time.
 */

import type {ServiceName} from '../ids/types.js';
import {NO_COST_CLASS} from './classes.js';
import type {CostEstimate, CostKey, CostTable, ServerCosts} from './types.js';

/** Maximum number of classes in a table; a route has at most four. */
const MAX_CLASSES = 256;
/** Maximum number of services in a table. */
const MAX_SERVICES = 64;
/**
 * A run time counts as at most this multiple of the estimate. A tail of seven
 * times the mean in 3 of 100 then raises the estimate by 6% and not by 18%.
 */
const MAX_SAMPLE_RATIO = 3;
/**
 * Minimum weight of a run in the estimate of its class. At ten runs a second
 * half of a change is followed within 1.4 s.
 */
const MIN_CLASS_WEIGHT = 0.05;
/** Minimum weight of a run in the estimate of its service. */
const MIN_SERVICE_WEIGHT = 0.02;
/**
 * Number of runs of a class that weigh as much as the mean of its service: a
 * single run in a tail must not be the whole estimate.
 */
const PRIOR_SAMPLES = 3;
/** Weight of a run in a server's slowness: three to four runs show it. */
const SLOWNESS_WEIGHT = 0.2;
/**
 * Time in which slowness decays halfway to one without runs; neighbours slow a
 * server for 0.4 s at a time.
 */
const SLOWNESS_HALF_LIFE_MS = 400;
/** Bounds of the slowness. */
const MIN_SLOWNESS = 0.3;
const MAX_SLOWNESS = 5;
/**
 * Power of the slowness by which a run time is divided before it is learned.
 * With 1, a server that is slower for good would never change the estimates;
 * with 0, a neighbour of 0.4 s raises those of frequent classes by two thirds.
 */
const NORMALISED_POWER = 0.5;
/** Weight of a run in the mean error. */
const ERROR_WEIGHT = 0.02;
/**
 * Least expected remaining time of a run, as a share of its estimate: run times
 * vary around the estimate, so that a run just below it isn't over yet.
 */
const MIN_REMAINING_SHARE = 0.25;
/** Age of a run, as a multiple of its estimate, from which it is in the tail. */
const TAIL_AGE_RATIO = 2;
/** Expected remaining time of a run in the tail, as a share of its estimate. */
const TAIL_REMAINING_SHARE = 2;

/**
 * Creates a table without estimates.
 *
 * @returns The table.
 */
export function createCostTable(): CostTable {
  return {classes: new Map(), services: new Map()};
}

/**
 * Creates the estimates of a server of which nothing is known.
 *
 * @returns The estimates; its speed counts as that of the estimates.
 */
export function createServerCosts(): ServerCosts {
  return {table: createCostTable(), slowness: 1, slownessAt: 0, errorShare: 0};
}

/**
 * Adds a run time to the estimates of its class and its service.
 *
 * @param table - The estimates.
 * @param key - Service and class of the request.
 * @param ms - Run time without queueing, in milliseconds.
 */
export function recordCost(table: CostTable, key: CostKey, ms: number): void {
  const {service, costClass} = key;
  const whole = table.services.get(service) ?? {meanMs: ms, samples: 0};
  // Bounds the table where a peer reports services that do not exist.
  if (whole.samples === 0 && table.services.size >= MAX_SERVICES) return;
  table.services.set(service, whole);
  addSample(whole, ms, MIN_SERVICE_WEIGHT);
  if (costClass === NO_COST_CLASS) return;
  const name = nameOf(key);
  const known = table.classes.get(name) ?? {meanMs: ms, samples: 0};
  table.classes.delete(name);
  table.classes.set(name, known);
  addSample(known, ms, MIN_CLASS_WEIGHT);
  if (table.classes.size <= MAX_CLASSES) return;
  const [oldest] = table.classes.keys();
  table.classes.delete(oldest);
}

/**
 * Returns the expected run time of a request at the usual speed. A class with
 * few runs is drawn towards the mean of its service.
 *
 * @param table - The estimates.
 * @param key - Service and class of the request.
 * @returns Milliseconds; 0 if nothing is known of the service.
 */
export function expectedCostMs(table: CostTable, key: CostKey): number {
  const serviceMs = serviceCostMs(table, key.service);
  const known = table.classes.get(nameOf(key));
  if (known === undefined) return serviceMs;
  const {meanMs, samples} = known;
  return (
    (meanMs * samples + serviceMs * PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES)
  );
}

/**
 * Returns the mean run time of a service.
 *
 * @param table - The estimates.
 * @param service - The service.
 * @returns Milliseconds; 0 if nothing is known.
 */
export function serviceCostMs(table: CostTable, service: ServiceName): number {
  return table.services.get(service)?.meanMs ?? 0;
}

/**
 * Records a run that completed, and how much it differed from its estimate.
 *
 * @param costs - Estimates of the server.
 * @param key - Service and class of the request.
 * @param runMs - Run time without queueing, in milliseconds.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordRunTime(
  costs: ServerCosts,
  key: CostKey,
  runMs: number,
  now: number,
): void {
  const usualMs = expectedCostMs(costs.table, key);
  const slowness = slownessAt(costs, now);
  if (usualMs > 0) {
    const error = Math.abs(runMs - usualMs * slowness) / (usualMs * slowness);
    costs.errorShare += (error - costs.errorShare) * ERROR_WEIGHT;
    const ratio = Math.min(runMs / usualMs, MAX_SAMPLE_RATIO);
    const next = slowness + (ratio - slowness) * SLOWNESS_WEIGHT;
    costs.slowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, next));
    costs.slownessAt = now;
  }
  recordCost(costs.table, key, runMs / slowness ** NORMALISED_POWER);
}

/**
 * Returns the expected run time of a request at the server's present speed.
 *
 * @param costs - Estimates of the server.
 * @param key - Service and class of the request.
 * @param now - Monotonic time, in milliseconds.
 * @returns Milliseconds; 0 if nothing is known of the service.
 */
export function expectedRunMs(
  costs: ServerCosts,
  key: CostKey,
  now: number,
): number {
  return expectedCostMs(costs.table, key) * slownessAt(costs, now);
}

/**
 * Returns the expected remaining time of a run. One that is older than its
 * estimate still has some, and one that is much older is probably in the tail.
 *
 * @param expectedMs - Expected run time, in milliseconds.
 * @param ageMs - Time since it started, in milliseconds.
 * @returns Milliseconds; 0 only if nothing is expected of it.
 */
export function remainingRunMs(expectedMs: number, ageMs: number): number {
  if (ageMs >= TAIL_AGE_RATIO * expectedMs) {
    return expectedMs * TAIL_REMAINING_SHARE;
  }
  return Math.max(expectedMs - ageMs, expectedMs * MIN_REMAINING_SHARE);
}

/** The slowness decays towards one as it ages. */
function slownessAt({slowness, slownessAt: at}: ServerCosts, now: number) {
  return 1 + (slowness - 1) * 0.5 ** ((now - at) / SLOWNESS_HALF_LIFE_MS);
}

function addSample(
  estimate: CostEstimate,
  ms: number,
  minWeight: number,
): void {
  estimate.samples += 1;
  const clippedMs = Math.min(ms, estimate.meanMs * MAX_SAMPLE_RATIO);
  const weight = Math.max(minWeight, 1 / estimate.samples);
  estimate.meanMs += (clippedMs - estimate.meanMs) * weight;
}

function nameOf({service, costClass}: CostKey): string {
  return `${service} ${costClass}`;
}
