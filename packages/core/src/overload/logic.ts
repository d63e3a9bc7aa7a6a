/**
 * @fileoverview Overload control at the origin: rejects what a full server
 * would refuse, and spreads the returns of refused callers over the time at
 * which there is room. Made for load of 1.2 to 1.7 times the capacity in waves,
 * deadlines of 1 to 8 s, run times of 78 to 351 ms, and callers of whom a third
 * repeat at once.
 */

import type {MemberId} from '../ids/types.js';
import type {
  ExpectedRoom,
  OverloadState,
  RoomClaim,
  RoomServer,
  ServerRecord,
} from './types.js';

/** Pairs of slice and urgency whose refusals are remembered for one server. */
const MAX_REFUSALS = 6;
/** Refusals of so many slices show that the server is full for any slice. */
const MIN_REFUSED_SLICES = 2;
/** Weight of a new run time in the moving mean. */
const RUN_WEIGHT = 0.1;
/** Share of a run time for which a report says whether there is room. */
const REPORT_SHARE = 0.5;
/**
 * Bounds of that time, in milliseconds: a report is older than a round trip over
 * a link, and within half a second most slots have a new run.
 */
const MIN_REPORT_MS = 10;
const MAX_REPORT_MS = 500;
/** One of so many requests for a full server is sent there all the same. */
const REQUESTS_PER_PROBE = 10;
/** Time after which one request is sent to a full server, in milliseconds. */
const PROBE_INTERVAL_MS = 100;
/** Time without a report after which a server is forgotten, in milliseconds. */
const FORGET_MS = 5000;
/**
 * Maximum wait as a share of the time left. Callers ignore more than a third of
 * it, and they measure it after the response has reached them.
 */
const MAX_WAIT_SHARE = 0.3;
/**
 * Maximum wait as a share of the objective without a run: a caller that is
 * refused twice and then served is within it. Without this bound, 56 in 100
 * calls were answered within the objective at 1.2 times the capacity, and 60
 * with the same wait of 150 ms for all.
 */
const OBJECTIVE_SHARE = 1 / 3;
/** Callers' clocks and timers make a shorter wait useless, in milliseconds. */
const MIN_WAIT_MS = 5;
/**
 * Growth of the distance between returns with the time promised already: new
 * requests take a part of the room, so later room is less certain.
 */
const DISTANCE_GROWTH = 0.25;

/**
 * Creates the state.
 *
 * @returns The state, without knowledge of any server.
 */
export function createOverloadState(): OverloadState {
  return {servers: new Map(), promisedUntil: new Map()};
}

/**
 * Records an attempt that is sent to a server.
 *
 * @param state - The state.
 * @param member - The server's member.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordDispatch(
  state: OverloadState,
  member: MemberId,
  now: number,
): void {
  const record = recordOf(state, member);
  record.sentAt = now;
  record.rejectedSinceSent = 0;
}

/**
 * Records the report in the last message of a response.
 *
 * @param state - The state.
 * @param server - The server that ran the attempt.
 * @param outstanding - Attempts there, as reported.
 * @param latencyMs - Time from sending the attempt to the end of its response.
 *     Its share spent in the queue is taken off by the ratio of the attempts
 *     there to the slots (Little's law).
 * @param now - Monotonic time, in milliseconds.
 */
export function recordServed(
  state: OverloadState,
  server: Pick<RoomServer, 'member' | 'slots'>,
  outstanding: number,
  latencyMs: number,
  now: number,
): void {
  const {member, slots} = server;
  const record = recordOf(state, member);
  const runMs = latencyMs * Math.min(1, slots / Math.max(1, outstanding));
  const weight = record.meanRunMs === 0 ? 1 : RUN_WEIGHT;
  record.meanRunMs += (runMs - record.meanRunMs) * weight;
  record.outstanding = outstanding;
  record.reportedAt = now;
}

/**
 * Records a refusal for want of room.
 *
 * @param state - The state.
 * @param member - The server's member.
 * @param outstanding - Attempts there, as reported.
 * @param claim - The refused request.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordRefusal(
  state: OverloadState,
  member: MemberId,
  outstanding: number,
  claim: RoomClaim,
  now: number,
): void {
  const record = recordOf(state, member);
  const {slice, urgency, objectiveMs, leftMs} = claim;
  record.outstanding = outstanding;
  record.reportedAt = now;
  const others = record.refusals.filter(
    each => each.urgency !== urgency || each.slice !== slice,
  );
  record.refusals = [
    ...others.slice(1 - MAX_REFUSALS),
    {slice, urgency, objectiveMs, leftMs, outstanding, at: now},
  ];
}

/**
 * Returns whether a server would refuse a request by its recent reports. They
 * must be younger than half a run time, with a refusal among them of a request
 * that was as urgent and had as much time, and since then no report of fewer
 * attempts. A refusal of another slice counts only beside that of a third: a hot
 * slice is refused beyond its share while others have room.
 *
 * @param state - The state.
 * @param member - The server's member.
 * @param claim - The request.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether it is known to be full.
 */
export function isKnownFull(
  state: OverloadState,
  member: MemberId,
  claim: RoomClaim,
  now: number,
): boolean {
  const record = state.servers.get(member);
  if (record === undefined) return false;
  const validMs = Math.min(
    MAX_REPORT_MS,
    Math.max(MIN_REPORT_MS, record.meanRunMs * REPORT_SHARE),
  );
  const refusals = record.refusals.filter(
    refusal =>
      now - refusal.at <= validMs &&
      refusal.urgency <= claim.urgency &&
      refusal.objectiveMs >= claim.objectiveMs &&
      refusal.leftMs + validMs >= claim.leftMs &&
      record.outstanding >= refusal.outstanding,
  );
  const slices = new Set(refusals.map(each => each.slice));
  return slices.has(claim.slice) || slices.size >= MIN_REFUSED_SLICES;
}

/**
 * Decides whether a request is sent to a full server all the same, so that the
 * origin sees at once when there is room again, and counts it if not.
 *
 * @param state - The state.
 * @param member - The server's member, which is known to be full.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether to send it.
 */
export function admitsProbe(
  state: OverloadState,
  member: MemberId,
  now: number,
): boolean {
  const record = recordOf(state, member);
  if (now - record.sentAt >= PROBE_INTERVAL_MS) return true;
  record.rejectedSinceSent += 1;
  return record.rejectedSinceSent >= REQUESTS_PER_PROBE;
}

/**
 * Estimates when servers have room for the requests of this origin.
 *
 * @param state - The state.
 * @param key - The owner of the slice, or the shared service.
 * @param servers - The servers that may run the request.
 * @param defaultRunMs - Run time where none was seen, in milliseconds.
 * @returns The expected room.
 */
export function expectRoom(
  state: OverloadState,
  key: ExpectedRoom['key'],
  servers: readonly RoomServer[],
  defaultRunMs: number,
): ExpectedRoom {
  let slots = 0;
  let outstanding = 0;
  let own = 1;
  let runMs = 0;
  for (const server of servers) {
    const record = state.servers.get(server.member);
    slots += server.slots;
    own += server.own;
    outstanding += Math.max(record?.outstanding ?? 0, server.own);
    const seenMs = record?.meanRunMs ?? 0;
    runMs += (seenMs === 0 ? defaultRunMs : seenMs) / servers.length;
  }
  const allMs = runMs / Math.max(1, slots);
  return {key, runMs, intervalMs: allMs * Math.max(1, outstanding / own)};
}

/**
 * Promises room to a refused caller, after all those promised before.
 *
 * @param state - The state.
 * @param room - The room expected.
 * @param claim - Time until the caller's deadline, and its objective.
 * @param random - Uniform in [0, 1); spreads those for whom the room that is
 *     left comes too late.
 * @param now - Monotonic time, in milliseconds.
 * @returns The wait in milliseconds, or null if no return can be served.
 */
export function promiseRoom(
  state: OverloadState,
  room: ExpectedRoom,
  claim: Pick<RoomClaim, 'leftMs' | 'objectiveMs'>,
  random: number,
  now: number,
): number | null {
  const {key, runMs, intervalMs} = room;
  const {leftMs, objectiveMs} = claim;
  const lastMs = Math.min(leftMs * MAX_WAIT_SHARE, leftMs - runMs);
  if (lastMs < MIN_WAIT_MS) return null;
  const goodMs = (objectiveMs - runMs) * OBJECTIVE_SHARE;
  const maxMs =
    objectiveMs === 0
      ? lastMs
      : Math.min(lastMs, Math.max(MIN_WAIT_MS, goodMs));
  const promisedMs = Math.max(0, (state.promisedUntil.get(key) ?? 0) - now);
  const distanceMs = intervalMs + promisedMs * DISTANCE_GROWTH;
  const waitMs = Math.max(MIN_WAIT_MS, promisedMs + distanceMs);
  if (waitMs > maxMs) return Math.max(MIN_WAIT_MS, maxMs * (0.5 + random / 2));
  state.promisedUntil.set(key, now + waitMs);
  return waitMs;
}

/**
 * Drops servers without recent reports and promises that are over.
 *
 * @param state - The state.
 * @param now - Monotonic time, in milliseconds.
 */
export function forgetOld(state: OverloadState, now: number): void {
  for (const [member, {reportedAt, sentAt}] of state.servers) {
    if (now - Math.max(reportedAt, sentAt) <= FORGET_MS) continue;
    state.servers.delete(member);
  }
  for (const [key, until] of state.promisedUntil) {
    if (until < now) state.promisedUntil.delete(key);
  }
}

function recordOf(state: OverloadState, member: MemberId): ServerRecord {
  const known = state.servers.get(member);
  if (known !== undefined) return known;
  const fresh: ServerRecord = {
    outstanding: 0,
    reportedAt: -Infinity,
    meanRunMs: 0,
    refusals: [],
    sentAt: -Infinity,
    rejectedSinceSent: 0,
  };
  state.servers.set(member, fresh);
  return fresh;
}
