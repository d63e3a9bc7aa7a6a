/**
 * @fileoverview Selects a server for a request that any server of a service
 * may run. A server in the caller's availability zone is taken while it has room
 * and is fast enough. Otherwise, of two random servers it takes the one with the
 * better score, which combines outstanding work and latency ("power of two
 * choices"). There are no probes: the statistics come from attempts and their
 * responses alone.
 */

import {createCostTable} from '../costs/logic.js';
import type {CostKey, WorkReport} from '../costs/types.js';
import type {
  AttemptId,
  CostClass,
  MemberId,
  ServiceName,
  ZoneName,
} from '../ids/types.js';
import type {ServingMember} from '../ownership/types.js';
import type {Tuning} from '../settings/defaults.js';
import {
  expectedCompletionMs,
  recordSentCost,
  recordWork,
} from './completion.js';
import type {SelectionState, ServerStats, ServiceStats} from './types.js';
import {LatencyHistogram} from './histogram.js';

/**
 * Factor on the score of a penalized server, so that any other server is
 * preferred.
 */
const PENALTY_FACTOR = 1e6;
/** Lower bound of a latency in a score, which keeps scores above zero. */
const MIN_LATENCY_MS = 0.1;
/**
 * Maximum estimate after abandoned attempts, as a multiple of the service's
 * mean latency.
 */
const MAX_ABANDONED_RATIO = 64;
/**
 * Exponent of the latency, so that a low load can't outweigh a high latency.
 */
const LATENCY_EXPONENT = 2;
/** Weight of a new sample in the mean latency of a service. */
const MEAN_WEIGHT = 0.02;
/** Weight of a new sample that is below a server's estimated latency. */
const DECREASE_WEIGHT = 0.2;
/** Share of a server's slots that may be in use for it to have room. */
const ROOM_SHARE = 0.7;
/**
 * Share of the latency objective that a server in the same zone may be expected
 * to need; beyond it, a faster one in another zone may be better.
 */
const NEAR_LATENCY_SHARE = 0.75;
/**
 * Latency as a multiple of the service's mean up to which a server counts as
 * healthy by cost: runs in the tail last seven times the mean of their kind.
 */
const MAX_HEALTHY_RATIO = 8;
/** Minimum number of samples before a percentile is used. */
const MIN_SAMPLES = 20;

type SelectionTuning = Tuning['routing'];

/** What a selection depends on besides the servers and their statistics. */
export interface SelectionContext {
  readonly service: ServiceName;
  /** Monotonic time, in milliseconds. */
  readonly now: number;
  /** This daemon's availability zone, or null if unknown. */
  readonly zone: ZoneName | null;
  /** Uniform in [0, 1). */
  readonly random: number;
  /** Latency objective of the response, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
  /** Servers that must not be selected. */
  readonly excluded: readonly MemberId[];
  readonly tuning: SelectionTuning;
  /** Class of the request for selection by cost; absent: by counts. */
  readonly costClass?: CostClass | undefined;
}

/**
 * Creates the state.
 *
 * @returns The state, without statistics.
 */
export function createSelectionState(): SelectionState {
  return {
    servers: new Map(),
    services: new Map(),
    costs: createCostTable(),
  };
}

/**
 * Selects a server.
 *
 * @param selection - Statistics of servers and services.
 * @param servers - Servers that accept new work.
 * @param context - Time, zone, randomness and exclusions.
 * @returns The server, or null if none is left.
 */
export function chooseServer(
  selection: SelectionState,
  servers: readonly ServingMember[],
  context: SelectionContext,
): ServingMember | null {
  const {excluded} = context;
  const eligible =
    excluded.length === 0
      ? servers
      : servers.filter(server => !excluded.includes(server.member));
  const inZone = eligible.filter(server => isNear(server, context));
  const near = chooseByScore(selection, inZone, context);
  if (near !== null && hasRoom(selection, near, context)) return near;
  return chooseByScore(selection, eligible, context);
}

/** Takes the better one of two random servers; returns null without any. */
function chooseByScore(
  selection: SelectionState,
  servers: readonly ServingMember[],
  context: SelectionContext,
): ServingMember | null {
  if (servers.length < 2) return servers[0] ?? null;
  const [a, b] = pickTwo(servers, context.random);
  const scoreA = scoreOf(selection, a, context);
  const scoreB = scoreOf(selection, b, context);
  return scoreA <= scoreB ? a : b;
}

/**
 * Returns whether a server has free slots, accepted the latest attempts and is
 * expected to respond well within the latency objective.
 */
function hasRoom(
  selection: SelectionState,
  {member, slots}: ServingMember,
  context: SelectionContext,
): boolean {
  const known = selection.servers.get(member);
  if (known === undefined) return true;
  if (known.penalizedUntil > context.now) return false;
  if (outstandingAt(known, context) >= ROOM_SHARE * slots) return false;
  if (context.objectiveMs === 0) return true;
  const meanMs = meanLatencyMs(selection, context);
  const expectedMs = expectedLatencyMs(known, meanMs, context);
  return expectedMs <= NEAR_LATENCY_SHARE * context.objectiveMs;
}

function isNear({zone}: ServingMember, context: SelectionContext): boolean {
  return context.zone === null || zone === context.zone;
}

/** Mean latency of the service over all its servers; 0 if unknown. */
function meanLatencyMs(
  selection: SelectionState,
  {service}: SelectionContext,
): number {
  return selection.services.get(service)?.meanMs ?? 0;
}

/** Attempts that wait or run at a server, as far as this daemon knows. */
function outstandingAt(known: ServerStats, context: SelectionContext): number {
  const {latencyHalfLifeMs} = context.tuning;
  const halfLives = (context.now - known.reportedAt) / latencyHalfLifeMs;
  const reported = known.reportedOutstanding * 0.5 ** halfLives;
  return Math.max(known.outstanding.size, reported);
}

/**
 * Records that an attempt was sent.
 *
 * @param selection - Statistics of servers and services.
 * @param member - The server's member.
 * @param attempt - The attempt.
 * @param now - Monotonic time, in milliseconds.
 * @param key - Service and class of the request; null unless scheduling goes by
 *     cost.
 */
export function recordSent(
  selection: SelectionState,
  member: MemberId,
  attempt: AttemptId,
  now: number,
  key: CostKey | null = null,
): void {
  const server = serverStatsOf(selection, member);
  server.outstanding.set(attempt, now);
  if (key !== null) recordSentCost(selection, server, attempt, key);
}

/**
 * Records a server's report of its work in milliseconds.
 *
 * @param selection - Statistics of servers and services.
 * @param member - The server's member.
 * @param key - Service and class of the request that the report came with.
 * @param report - The report.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordReportedWork(
  selection: SelectionState,
  member: MemberId,
  key: CostKey,
  report: WorkReport,
  now: number,
): void {
  const server = serverStatsOf(selection, member);
  recordWork(selection, server, key, report, now);
}

/**
 * Records a latency. The estimate of the server follows a higher latency
 * immediately and a lower one gradually.
 *
 * @param selection - Statistics of servers and services.
 * @param member - The server's member.
 * @param service - The service.
 * @param latencyMs - Time from sending to the head of the response.
 * @param now - Monotonic time, in milliseconds.
 * @param halfLifeMs - Time in which an older estimate moves halfway to the
 *     mean.
 */
export function recordLatency(
  selection: SelectionState,
  member: MemberId,
  service: ServiceName,
  latencyMs: number,
  now: number,
  halfLifeMs: number,
): void {
  const server = serverStatsOf(selection, member);
  const stats = serviceStatsOf(selection, service);
  const estimateMs = decayedMs(server, stats.meanMs, now, halfLifeMs);
  const rises = latencyMs > estimateMs;
  const weight = rises ? 1 : DECREASE_WEIGHT;
  server.latencyMs = estimateMs + (latencyMs - estimateMs) * weight;
  server.latencyUpdatedAt = now;
  stats.histogram.add(latencyMs);
  const meanWeight = stats.meanMs === 0 ? 1 : MEAN_WEIGHT;
  stats.meanMs += (latencyMs - stats.meanMs) * meanWeight;
}

/**
 * Records that an attempt was cancelled since another one responded first. Its
 * latency would have been at least its age; how much longer is unknown. So each
 * such attempt doubles the estimate, up to a maximum, and responses lower it
 * again.
 *
 * @param selection - Statistics of servers and services.
 * @param member - The server's member.
 * @param service - The service.
 * @param ageMs - Time since the attempt was sent, in milliseconds.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordAbandoned(
  selection: SelectionState,
  member: MemberId,
  service: ServiceName,
  ageMs: number,
  now: number,
): void {
  const server = serverStatsOf(selection, member);
  const meanMs = selection.services.get(service)?.meanMs ?? 0;
  const doubledMs = 2 * Math.max(server.latencyMs, ageMs);
  const maxMs = Math.max(ageMs, MAX_ABANDONED_RATIO * meanMs);
  server.latencyMs = Math.min(doubledMs, maxMs);
  server.latencyUpdatedAt = now;
}

/**
 * Records that an attempt ended, whatever its outcome.
 *
 * @param selection - Statistics of servers and services.
 * @param member - The server's member.
 * @param attempt - The attempt.
 */
export function recordEnded(
  selection: SelectionState,
  member: MemberId,
  attempt: AttemptId,
): void {
  const server = selection.servers.get(member);
  server?.outstanding.delete(attempt);
  server?.sentCosts.delete(attempt);
}

/**
 * Records how much work a server reports to have.
 *
 * @param selection - Statistics of servers and services.
 * @param member - The server's member.
 * @param outstanding - Attempts that wait or run at the server.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordReportedLoad(
  selection: SelectionState,
  member: MemberId,
  outstanding: number,
  now: number,
): void {
  const server = serverStatsOf(selection, member);
  server.reportedOutstanding = outstanding;
  server.reportedAt = now;
}

/**
 * Penalizes a server that didn't accept an attempt or can't be reached.
 *
 * @param selection - Statistics of servers and services.
 * @param member - The server's member.
 * @param until - Monotonic time until which other servers are preferred.
 */
export function recordPenalty(
  selection: SelectionState,
  member: MemberId,
  until: number,
): void {
  serverStatsOf(selection, member).penalizedUntil = until;
}

/**
 * Drops the statistics of members that were removed, unless an attempt at them
 * is still open.
 *
 * @param selection - Statistics of servers and services.
 * @param isRemoved - Whether a member was removed from the workspace.
 */
export function dropServerStats(
  selection: SelectionState,
  isRemoved: (member: MemberId) => boolean,
): void {
  for (const [member, {outstanding}] of selection.servers) {
    if (outstanding.size > 0 || !isRemoved(member)) continue;
    selection.servers.delete(member);
  }
}

/**
 * Computes the delay before a request is hedged: the 95th percentile of the
 * observed latencies, which about one request in twenty exceeds.
 *
 * @param selection - Statistics of servers and services.
 * @param service - The service.
 * @param minMs - Lower bound.
 * @returns Milliseconds, or null while there are too few samples.
 */
export function hedgeDelayMs(
  selection: SelectionState,
  service: ServiceName,
  minMs: number,
): number | null {
  const stats = selection.services.get(service);
  if (stats === undefined || stats.histogram.sampleCount < MIN_SAMPLES) {
    return null;
  }
  return Math.max(minMs, stats.histogram.percentile(0.95));
}

/** Picks two different servers with one random value. */
function pickTwo(
  servers: readonly ServingMember[],
  random: number,
): readonly [ServingMember, ServingMember] {
  const count = servers.length;
  const pick = Math.floor(random * count * (count - 1));
  const first = Math.floor(pick / (count - 1));
  const offset = 1 + (pick % (count - 1));
  return [servers[first], servers[(first + offset) % count]];
}

/**
 * Rates a server; lower is better. One without statistics is rated by the mean
 * latency of the service.
 */
function scoreOf(
  selection: SelectionState,
  server: ServingMember,
  context: SelectionContext,
): number {
  const known = selection.servers.get(server.member);
  const zoneFactor = isNear(server, context)
    ? 1
    : context.tuning.otherZoneFactor;
  const meanMs = meanLatencyMs(selection, context);
  const penalty =
    known !== undefined && known.penalizedUntil > context.now
      ? PENALTY_FACTOR
      : 1;
  const byCost = completionScore(selection, server, known, context);
  if (byCost > 0) return byCost * zoneFactor * penalty;
  if (known === undefined) return Math.max(MIN_LATENCY_MS, meanMs) * zoneFactor;
  const latencyMs = expectedLatencyMs(known, meanMs, context);
  const load = 1 + outstandingAt(known, context);
  return latencyMs ** LATENCY_EXPONENT * load * zoneFactor * penalty;
}

/**
 * Rates a server by the expected completion of the request. Latencies count only
 * beyond those of healthy servers: they show that one is stuck or silent, which
 * its last report can't.
 *
 * @returns Milliseconds, or 0 if servers must be compared by counts.
 */
function completionScore(
  selection: SelectionState,
  {slots}: ServingMember,
  known: ServerStats | undefined,
  context: SelectionContext,
): number {
  const {service, costClass, now, tuning} = context;
  if (costClass === undefined) return 0;
  const completionMs = expectedCompletionMs(selection, known, {
    key: {service, costClass},
    slots,
    outstanding: known === undefined ? 0 : outstandingAt(known, context),
    now,
    halfLifeMs: tuning.latencyHalfLifeMs,
  });
  const meanMs = meanLatencyMs(selection, context);
  if (known === undefined || meanMs === 0) return completionMs;
  const ratio = expectedLatencyMs(known, meanMs, context) / meanMs;
  return completionMs * Math.max(1, ratio / MAX_HEALTHY_RATIO);
}

/**
 * Estimates the latency of the next attempt at a server. The age of its oldest
 * open attempt is a lower bound. While there is one, the estimate doesn't decay
 * towards the mean, so that a slow server gets one trial request at a time.
 */
function expectedLatencyMs(
  known: ServerStats,
  meanMs: number,
  context: SelectionContext,
): number {
  const {now, tuning} = context;
  const [oldest] = known.outstanding.values();
  if (oldest !== undefined) {
    const estimateMs = known.latencyMs === 0 ? meanMs : known.latencyMs;
    return Math.max(MIN_LATENCY_MS, estimateMs, now - oldest);
  }
  const decayed = decayedMs(known, meanMs, now, tuning.latencyHalfLifeMs);
  return Math.max(MIN_LATENCY_MS, decayed);
}

/** A latency estimate decays towards the mean of the service as it ages. */
function decayedMs(
  {latencyMs, latencyUpdatedAt}: ServerStats,
  meanMs: number,
  now: number,
  halfLifeMs: number,
): number {
  if (latencyMs === 0) return meanMs;
  const halfLives = (now - latencyUpdatedAt) / halfLifeMs;
  return meanMs + (latencyMs - meanMs) * 0.5 ** halfLives;
}

function serverStatsOf(
  selection: SelectionState,
  member: MemberId,
): ServerStats {
  const known = selection.servers.get(member);
  if (known !== undefined) return known;
  const fresh: ServerStats = {
    outstanding: new Map(),
    reportedOutstanding: 0,
    reportedAt: 0,
    latencyMs: 0,
    latencyUpdatedAt: 0,
    sentCosts: new Map(),
    reportedWorkMs: 0,
    workReportedAt: -Infinity,
    slowness: 1,
    penalizedUntil: 0,
  };
  selection.servers.set(member, fresh);
  return fresh;
}

function serviceStatsOf(
  selection: SelectionState,
  service: ServiceName,
): ServiceStats {
  const known = selection.services.get(service);
  if (known !== undefined) return known;
  const fresh: ServiceStats = {histogram: new LatencyHistogram(), meanMs: 0};
  selection.services.set(service, fresh);
  return fresh;
}
