/** @fileoverview What a daemon does on its own as time passes. */

import {renewServerGrants, mayServerHoldAny} from '../grants/logic.js';
import {hostOf} from '../ids/logic.js';
import type {MemberId} from '../ids/types.js';
import {readLogIfDue} from '../journal/reader.js';
import {beginAppend, retryAppendIfDue} from '../journal/writer.js';
import {isClosedOut, maintainLease, mayOffer} from '../leases/holder.js';
import {currentLease} from '../leases/logic.js';
import {reportSilentMembers, updateWatchedMembers} from '../leases/grantor.js';
import {acceptsWork} from '../map/logic.js';
import {hasEnoughLoad, reportLoad, proposeLoadMoves} from '../balance/load.js';
import {
  eligibleMembers,
  configuredServices,
  nextPlacement,
  rebalanceSliceCounts,
} from '../coordinator/logic.js';
import type {Change} from '../log/types.js';
import {
  advanceEvictions,
  suspectMember,
  proposeEvictions,
} from '../membership/evictions.js';
import {
  requestServerRelease,
  trackDrains,
  proposeRelease,
} from '../moves/logic.js';
import {storeSnapshotIfDue} from '../snapshots/storage.js';
import {retryOrExpireCommands, proposeOperatorChange} from './commands.js';
import {log, send} from './effects.js';
import type {
  OwnershipContext,
  OwnershipState,
  ProposedChange,
} from './state.js';
import {currentRanks, isRuleEnabled} from './state.js';

/** Part of a planned stop that is kept for committing the own end. */
const LAST_END_MS = 3000;
/** First ranks that may act as coordinator when those before are silent. */
const DEPUTY_RANKS = 3;
/** Silence after which a deputy acts for a higher rank. */
const DEPUTY_WAIT_MS = 1500;

/**
 * Does what is due.
 *
 * @param context - The step.
 */
export function runDueTasks(context: OwnershipContext): void {
  const {state} = context;
  if (state.phase === 'left') return;
  readLogIfDue(context);
  retryAppendIfDue(context);
  retryOrExpireCommands(context);
  maintainLease(context);
  if (state.watchedMembershipChanges !== state.map.membershipChanges) {
    state.watchedMembershipChanges = state.map.membershipChanges;
    updateWatchedMembers(context);
  }
  if (state.phase !== 'joining') {
    reportSilentMembers(context, (member, reporter, hint) =>
      suspectMember(context, member, reporter, hint),
    );
    advanceEvictions(context);
    trackDrains(context);
    requestServerRelease(context);
    noteHeldBack(context);
    renewServerGrants(context);
    reportLoad(context);
    watchDeputies(context);
    reviewOwnEnd(context);
    if (state.actsAsCoordinator) storeSnapshotIfDue(context);
  }
  appendNext(context);
}

function appendNext(context: OwnershipContext): void {
  const {state, at} = context;
  const {logWriter: journal, logReader: sync} = state;
  if (journal.append !== null || at.monotonic < journal.notBefore) return;
  if (!sync.caughtUp || sync.inFlight || sync.readNeeded) return;
  const wanted = nextWanted(context);
  if (wanted === null) return;
  const writeId = beginAppend(context, wanted);
  if (wanted.command !== undefined) wanted.command.writeId = writeId;
}

function nextWanted(context: OwnershipContext): ProposedChange | null {
  const {state} = context;
  if (state.phase === 'joining') return wantedJoin(context);
  if (state.phase === 'ending') return wantedOwnEnd(context);
  return (
    proposeEvictions(context) ??
    proposeOperatorChange(context) ??
    proposeRelease(context) ??
    wantedOffer(context) ??
    wantedDrain(state) ??
    wantedPlacement(context)
  );
}

function wantedJoin(context: OwnershipContext): ProposedChange {
  const {state} = context;
  const {zone, address, operators = null} = state.settings;
  const predecessor = predecessorOf(state);
  if (!isRuleEnabled(state, 'R4') && predecessor !== null) {
    return {
      change: {kind: 'ended', members: [predecessor]},
      by: state.self,
    };
  }
  const {soleProcess} = state.settings.tuning.membership;
  const replaces = soleProcess ? predecessor : null;
  const member = state.self;
  return {
    change: {kind: 'joined', member, zone, address, operators, replaces},
    by: state.self,
  };
}

function predecessorOf(state: OwnershipState): MemberId | null {
  for (const id of state.map.members.keys()) {
    if (id !== state.self && hostOf(id) === state.settings.host) return id;
  }
  return null;
}

/** The own end, once no run of the lease and no grant under it is left. */
function wantedOwnEnd(context: OwnershipContext): ProposedChange | null {
  const {state, at, work} = context;
  const mayRun = currentLease(state, at).source !== 'none';
  if (mayRun && work.inFlightTotal() > 0) return null;
  if (mayServerHoldAny(state.grants, at.monotonic)) return null;
  const {self, lease} = state;
  return {
    change: {kind: 'ended', members: [self]},
    by: self,
    ends: [{member: self, revision: lease.revision}],
  };
}

/** Brings the log's view of the backend server up to date. */
function wantedOffer(context: OwnershipContext): ProposedChange | null {
  const {state, at} = context;
  const {announcement, self} = state;
  const offer = state.map.members.get(self)?.offer ?? null;
  if (announcement === null) {
    if (offer === null && !isOverdue(context)) return null;
    return {change: {kind: 'withdrawn', member: self}, by: self};
  }
  const {service, instance, slots, leaving} = announcement;
  const same =
    offer !== null &&
    offer.service === service &&
    offer.instance === instance &&
    offer.slots === slots &&
    offer.leaving === leaving;
  if (same || (offer === null && !mayOffer(state, at))) return null;
  return {
    change: {kind: 'offered', member: self, service, instance, slots, leaving},
    by: self,
  };
}

/** A successor's server has not announced itself in time. */
function isOverdue({state, at}: OwnershipContext): boolean {
  if (state.map.members.get(state.self)?.awaited !== true) return false;
  const {ttlMs} = state.settings.tuning.announcements;
  return at.monotonic - state.joinedAt > ttlMs;
}

function wantedDrain(state: OwnershipState): ProposedChange | null {
  const {self, phase} = state;
  if (phase !== 'stopping') return null;
  if (state.map.members.get(self)?.draining === true) return null;
  return {change: {kind: 'draining', member: self}, by: self};
}

function wantedPlacement(context: OwnershipContext): ProposedChange | null {
  const {state} = context;
  if (!state.actsAsCoordinator) return null;
  const change = settledPlacement(state) ?? wantedLoadSpread(context);
  return change === null ? null : {change, by: state.self};
}

/** Placement follows from the map alone: one look at each version. */
function settledPlacement(state: OwnershipState): Change | null {
  const {map} = state;
  if (state.placementSettledVersion === map.version) return null;
  const change = nextPlacement(map) ?? spreadByCount(state);
  if (change === null) state.placementSettledVersion = map.version;
  return change;
}

function spreadByCount(state: OwnershipState): Change | null {
  for (const service of configuredServices(state.map)) {
    if (hasEnoughLoad(state, service.name)) continue;
    const candidates = eligibleMembers(state.map, service.name);
    if (candidates.length < 2) continue;
    const change = rebalanceSliceCounts(state.map, service, candidates);
    if (change !== null) return change;
  }
  return null;
}

function wantedLoadSpread(context: OwnershipContext): Change | null {
  const {state, at} = context;
  if (at.monotonic < state.balance.notBefore) return null;
  for (const service of configuredServices(state.map)) {
    if (!hasEnoughLoad(state, service.name)) continue;
    const candidates = eligibleMembers(state.map, service.name);
    const change = proposeLoadMoves(context, service, candidates);
    if (change !== null) return change;
  }
  return null;
}

/** The first rank acts; the next ones when those before them are silent. */
function watchDeputies(context: OwnershipContext): void {
  const {state, at} = context;
  if (at.monotonic < state.nextRankCheckAt) return;
  state.nextRankCheckAt = at.monotonic + state.settings.tuning.leases.renewMs;
  const ranks = currentRanks(state).slice(0, DEPUTY_RANKS);
  const rank = ranks.indexOf(state.self);
  const before = rank < 0 ? [] : ranks.slice(0, rank);
  const silent = (id: MemberId): boolean =>
    at.monotonic - heardOf(context, id) > DEPUTY_WAIT_MS;
  const acts = rank >= 0 && before.every(silent);
  for (const id of before) {
    send(context, id, {kind: 'pull', after: state.map.version});
  }
  if (acts && !state.actsAsCoordinator) {
    log(context, 'coordinatorActs', {rank, version: state.map.version});
  }
  state.actsAsCoordinator = acts;
}

function heardOf(context: OwnershipContext, id: MemberId): number {
  const {state, at} = context;
  const known = state.lastHeardAt.get(id);
  if (known !== undefined) return known;
  state.lastHeardAt.set(id, at.monotonic);
  return at.monotonic;
}

function noteHeldBack(context: OwnershipContext): void {
  const {state, at} = context;
  const self = state.map.members.get(state.self);
  const free = self !== undefined && acceptsWork(state.map, self);
  const offers = self !== undefined && self.offer !== null;
  if (free || !offers) state.notTakingWorkSince = null;
  else state.notTakingWorkSince ??= at.monotonic;
}

/** Ends itself when stopped and drained, or when no grantor is left (R7). */
function reviewOwnEnd(context: OwnershipContext): void {
  const {state, at, work} = context;
  if (
    state.stopRequested &&
    state.settings.tuning.membership.returnsAfterStop
  ) {
    leaveToReturn(context);
    return;
  }
  if (state.phase === 'stopping') {
    const drained = !ownsAny(state) && work.inFlightTotal() === 0;
    const told = state.map.members.get(state.self)?.draining === true;
    if ((drained && told) || at.monotonic > state.stopDeadline - LAST_END_MS) {
      state.phase = 'ending';
      state.dirty = true;
    }
    return;
  }
  if (state.phase === 'ending' && state.stopRequested) leaveInTime(context);
  if (state.phase !== 'joined' || !isClosedOut(state, at.monotonic)) return;
  state.phase = 'ending';
}

/**
 * A daemon that will be started again beside the same server keeps its place:
 * slices that moved away would only move back.
 */
function leaveToReturn(context: OwnershipContext): void {
  const {state, at, work} = context;
  const {stopMs, stopServeMs} = state.settings.tuning.membership;
  const begun = state.stopDeadline - stopMs;
  if (at.monotonic - begun < stopServeMs) return;
  if (work.inFlightTotal() > 0 && at.monotonic < state.stopDeadline) return;
  state.phase = 'left';
  context.effects.push({kind: 'leave'});
}

/** The platform did not take the end in time; other members will end it. */
function leaveInTime(context: OwnershipContext): void {
  const {state, at} = context;
  if (at.monotonic <= state.stopDeadline) return;
  state.phase = 'left';
  context.effects.push({kind: 'leave'});
}

function ownsAny(state: OwnershipState): boolean {
  const index = state.map.members.get(state.self)?.index;
  if (index === undefined) return false;
  for (const service of state.map.services.values()) {
    if (service.owner.includes(index)) return true;
  }
  return false;
}
