/**
 * @fileoverview Choice of a server for work that any server of a service may
 * run: the better of two by outstanding work and observed latency. Nothing is
 * probed; what is seen comes from answers and their absence.
 */

import type {AttemptId, MemberId, ServiceName, ZoneName} from '../ids/types.js';
import type {ServingMember} from '../ownership/types.js';
import type {Tuning} from '../settings/defaults.js';
import type {SelectionState, ServerStats, ServiceStats} from './types.js';
import {LatencyHistogram} from './histogram.js';

/** Score of a server that refused a moment ago, as a factor. */
const REFUSED_FACTOR = 1e6;
const LEAST_LATENCY_MS = 0.1;
/** Most that lost hedges raise an expected latency to, as a multiple. */
const MAX_SLOWNESS = 64;
/** Latency weighs more than load, so that load alone never favours a straggler. */
const LATENCY_POWER = 2;
const MEAN_WEIGHT = 0.02;
const LATENCY_WEIGHT = 0.2;
/** Samples needed before a percentile is used. */
const MIN_SAMPLES = 20;

type ChoicePolicy = Tuning['routing'];

/** What a choice depends on besides the servers. */
export interface SelectionContext {
  readonly service: ServiceName;
  /** Monotonic time, in milliseconds. */
  readonly now: number;
  /** This daemon's availability zone, or null if unknown. */
  readonly zone: ZoneName | null;
  readonly random: number;
  /** Servers not to be chosen. */
  readonly avoid: readonly MemberId[];
  readonly policy: ChoicePolicy;
}

/**
 * Creates the state.
 *
 * @returns The state.
 */
export function createSelectionState(): SelectionState {
  return {servers: new Map(), services: new Map()};
}

/**
 * Chooses a server.
 *
 * @param choice - What was seen.
 * @param servers - Servers that take new work.
 * @param situation - Moment, place, randomness and exclusions.
 * @returns The server, or null if none is left.
 */
export function chooseServer(
  choice: SelectionState,
  servers: readonly ServingMember[],
  situation: SelectionContext,
): ServingMember | null {
  const {avoid, random} = situation;
  const open =
    avoid.length === 0
      ? servers
      : servers.filter(server => !avoid.includes(server.member));
  if (open.length < 2) return open[0] ?? null;
  const [a, b] = pairOf(open, random);
  const scoreA = scoreOf(choice, a, situation);
  const scoreB = scoreOf(choice, b, situation);
  return scoreA <= scoreB ? a : b;
}

/**
 * Notes that an attempt was sent.
 *
 * @param choice - What was seen.
 * @param member - The server's member.
 * @param attempt - The attempt.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordSent(
  choice: SelectionState,
  member: MemberId,
  attempt: AttemptId,
  now: number,
): void {
  observed(choice, member).outstanding.set(attempt, now);
}

/**
 * Notes a latency.
 *
 * @param choice - What was seen.
 * @param member - The server's member.
 * @param service - The service.
 * @param latencyMs - From sending to the head of the answer.
 * @param now - Monotonic time, in milliseconds.
 * @param halfLifeMs - Time after which an earlier latency counts half.
 */
export function recordLatency(
  choice: SelectionState,
  member: MemberId,
  service: ServiceName,
  latencyMs: number,
  now: number,
  halfLifeMs: number,
): void {
  const server = observed(choice, member);
  const all = seen(choice, service);
  const known = fadedMs(server, all.meanMs, now, halfLifeMs);
  const rises = latencyMs > known;
  const weight = rises ? 1 : LATENCY_WEIGHT;
  server.latencyMs = known + (latencyMs - known) * weight;
  server.latencyUpdatedAt = now;
  all.histogram.add(latencyMs);
  const meanWeight = all.meanMs === 0 ? 1 : MEAN_WEIGHT;
  all.meanMs += (latencyMs - all.meanMs) * meanWeight;
}

/**
 * Notes that an attempt was given up. Its latency is at least its age; how
 * much more is never seen, so each one doubles what is expected, while answers
 * bring it down again.
 *
 * @param choice - What was seen.
 * @param member - The server's member.
 * @param service - The service.
 * @param ageMs - Time since it was sent.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordAbandoned(
  choice: SelectionState,
  member: MemberId,
  service: ServiceName,
  ageMs: number,
  now: number,
): void {
  const server = observed(choice, member);
  const meanMs = choice.services.get(service)?.meanMs ?? 0;
  const doubledMs = 2 * Math.max(server.latencyMs, ageMs);
  const mostMs = Math.max(ageMs, MAX_SLOWNESS * meanMs);
  server.latencyMs = Math.min(doubledMs, mostMs);
  server.latencyUpdatedAt = now;
}

/**
 * Notes that an attempt is over.
 *
 * @param choice - What was seen.
 * @param member - The server's member.
 * @param attempt - The attempt.
 */
export function recordEnded(
  choice: SelectionState,
  member: MemberId,
  attempt: AttemptId,
): void {
  choice.servers.get(member)?.outstanding.delete(attempt);
}

/**
 * Notes what a server said of the work it has.
 *
 * @param choice - What was seen.
 * @param member - The server's member.
 * @param outstanding - Attempts that wait or run there.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordReportedLoad(
  choice: SelectionState,
  member: MemberId,
  outstanding: number,
  now: number,
): void {
  const server = observed(choice, member);
  server.reportedOutstanding = outstanding;
  server.reportedAt = now;
}

/**
 * Notes that a server refused for lack of room.
 *
 * @param choice - What was seen.
 * @param member - The server's member.
 * @param until - Monotonic time until which it is passed over.
 */
export function recordPenalty(
  choice: SelectionState,
  member: MemberId,
  until: number,
): void {
  observed(choice, member).penalizedUntil = until;
}

/**
 * Drops what was seen of members that are gone.
 *
 * @param choice - What was seen.
 * @param isGone - Whether a member is gone.
 */
export function dropServerStats(
  choice: SelectionState,
  isGone: (member: MemberId) => boolean,
): void {
  for (const [member, {outstanding}] of choice.servers) {
    if (outstanding.size > 0 || !isGone(member)) continue;
    choice.servers.delete(member);
  }
}

/**
 * Finds the wait before a slow lookup is hedged: the observed p95.
 *
 * @param choice - What was seen.
 * @param service - The service.
 * @param leastMs - Lower bound.
 * @returns Milliseconds, or null while too little was seen.
 */
export function hedgeDelayMs(
  choice: SelectionState,
  service: ServiceName,
  leastMs: number,
): number | null {
  const all = choice.services.get(service);
  if (all === undefined || all.histogram.sampleCount < MIN_SAMPLES) return null;
  return Math.max(leastMs, all.histogram.percentile(0.95));
}

function pairOf(
  servers: readonly ServingMember[],
  random: number,
): readonly [ServingMember, ServingMember] {
  const count = servers.length;
  const pick = Math.floor(random * count * (count - 1));
  const first = Math.floor(pick / (count - 1));
  const offset = 1 + (pick % (count - 1));
  return [servers[first], servers[(first + offset) % count]];
}

function scoreOf(
  choice: SelectionState,
  server: ServingMember,
  at: SelectionContext,
): number {
  const known = choice.servers.get(server.member);
  const isNear = at.zone === null || server.zone === at.zone;
  const distance = isNear ? 1 : at.policy.otherZoneFactor;
  const meanMs = choice.services.get(at.service)?.meanMs ?? 0;
  if (known === undefined) return Math.max(LEAST_LATENCY_MS, meanMs) * distance;
  const latencyMs = expectedMs(known, meanMs, at);
  const halfLives = (at.now - known.reportedAt) / at.policy.latencyHalfLifeMs;
  const reported = known.reportedOutstanding * 0.5 ** halfLives;
  const load = 1 + Math.max(known.outstanding.size, reported);
  const refused = known.penalizedUntil > at.now ? REFUSED_FACTOR : 1;
  return latencyMs ** LATENCY_POWER * load * distance * refused;
}

/**
 * An attempt without an answer counts by its age. While there is one, nothing
 * fades, so that a slow server is tried again by one request at a time.
 */
function expectedMs(
  known: ServerStats,
  meanMs: number,
  at: SelectionContext,
): number {
  const {now, policy} = at;
  const [oldest] = known.outstanding.values();
  if (oldest !== undefined) {
    const latestMs = known.latencyMs === 0 ? meanMs : known.latencyMs;
    return Math.max(LEAST_LATENCY_MS, latestMs, now - oldest);
  }
  const faded = fadedMs(known, meanMs, now, policy.latencyHalfLifeMs);
  return Math.max(LEAST_LATENCY_MS, faded);
}

/** A latency moves towards the mean of the service as it ages. */
function fadedMs(
  {latencyMs, latencyUpdatedAt: latencyAt}: ServerStats,
  meanMs: number,
  now: number,
  halfLifeMs: number,
): number {
  if (latencyMs === 0) return meanMs;
  const halfLives = (now - latencyAt) / halfLifeMs;
  return meanMs + (latencyMs - meanMs) * 0.5 ** halfLives;
}

function observed(choice: SelectionState, member: MemberId): ServerStats {
  const known = choice.servers.get(member);
  if (known !== undefined) return known;
  const fresh: ServerStats = {
    outstanding: new Map(),
    reportedOutstanding: 0,
    reportedAt: 0,
    latencyMs: 0,
    latencyUpdatedAt: 0,
    penalizedUntil: 0,
  };
  choice.servers.set(member, fresh);
  return fresh;
}

function seen(choice: SelectionState, service: ServiceName): ServiceStats {
  const known = choice.services.get(service);
  if (known !== undefined) return known;
  const fresh: ServiceStats = {histogram: new LatencyHistogram(), meanMs: 0};
  choice.services.set(service, fresh);
  return fresh;
}
