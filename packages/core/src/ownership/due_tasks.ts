/**
 * @fileoverview Periodic tasks of a daemon, and the choice of the change that
 * it appends to the log next.
 */

import {requestConfigurationIfDue} from '../configuration/logic.js';
import {trackSourceRole} from '../configuration/source.js';
import {mayServerHoldAny} from '../grants/holds.js';
import {renewServerGrants} from '../grants/schedule.js';
import {releaseUnproven} from '../grants/unproven.js';
import {hostOf} from '../ids/logic.js';
import type {MemberId} from '../ids/types.js';
import {readLogIfDue} from '../log_replication/reader.js';
import {beginAppend, retryAppendIfDue} from '../log_replication/writer.js';
import {
  isRevokedByAll,
  maintainLease,
  mayOfferServer,
} from '../leases/holder.js';
import {advanceRestoration, isComparing, mayAppend} from '../restore/logic.js';
import {currentLease, storedRevision} from '../leases/logic.js';
import {readOwnRow} from '../leases/own_row.js';
import {reportSilentMembers, updateWatchedMembers} from '../leases/grantor.js';
import {acceptsWork} from '../map/logic.js';
import {
  hasEnoughLoad,
  proposeLoadMoves,
  proposeMerges,
  reportLoad,
} from '../balance/load.js';
import {hasFormed} from '../coordinator/formation.js';
import {
  eligibleMembers,
  configuredServices,
  hasOrderedKeys,
  nextPlacement,
  rebalanceSliceCounts,
} from '../coordinator/logic.js';
import type {Change} from '../log/types.js';
import {
  advanceEvictions,
  suspectMember,
  proposeEvictions,
} from '../membership/evictions.js';
import {nameFirstGrantors} from '../membership/joining.js';
import {proposeReceived, requestCommit} from '../proposals/logic.js';
import {requestHandBack, trackDrains, proposeRelease} from '../moves/logic.js';
import {storeSnapshotIfDue} from '../snapshots/storage.js';
import {retryOrExpireCommands, proposeOperatorChange} from './commands.js';
import {log, send} from './effects.js';
import type {
  OwnershipContext,
  OwnershipState,
  ProposedChange,
} from './state.js';
import {currentRanks, isRuleEnabled} from './state.js';

/**
 * Time reserved at the end of a requested stop for committing the removal of
 * this member.
 */
const REMOVAL_RESERVE_MS = 3000;
/** Number of highest-ranked members that may act as coordinator. */
const MAX_COORDINATOR_RANKS = 3;
/**
 * Time without a message from any higher-ranked member after which the next one
 * takes over as coordinator.
 */
const COORDINATOR_TIMEOUT_MS = 1500;
/** Time between two reads of the own row in a restored store, before removal. */
const OWN_ROW_READ_MS = 500;
/** Interval at which the number of ranges of slices is checked. */
const MERGE_CHECK_MS = 1000;

/**
 * Runs the tasks that are due, then appends the next change.
 *
 * @param context - Context of the current input.
 */
export function runDueTasks(context: OwnershipContext): void {
  const {state} = context;
  if (state.phase === 'left') return;
  advanceRestoration(context);
  if (!isComparing(context)) readLogIfDue(context);
  requestConfigurationIfDue(context);
  trackSourceRole(context);
  retryAppendIfDue(context);
  retryOrExpireCommands(context);
  maintainLease(context);
  if (state.watchedMembershipChanges !== state.map.membershipChanges) {
    state.watchedMembershipChanges = state.map.membershipChanges;
    updateWatchedMembers(context);
  }
  if (state.phase !== 'joining') {
    reportSilentMembers(context, (member, reporter, reported) =>
      suspectMember(context, member, reporter, reported),
    );
    advanceEvictions(context);
    trackDrains(context);
    requestHandBack(context);
    releaseUnproven(context);
    trackWorkAcceptance(context);
    renewServerGrants(context);
    reportLoad(context);
    updateCoordinatorRole(context);
    removeSelfIfDue(context);
    if (state.actsAsCoordinator && state.restore.pending === null) {
      storeSnapshotIfDue(context);
    }
  }
  appendNext(context);
}

function appendNext(context: OwnershipContext): void {
  const {state, at} = context;
  const {logWriter, logReader} = state;
  if (logWriter.append !== null || at.monotonic < logWriter.notBefore) return;
  if (!logReader.caughtUp || logReader.inFlight || logReader.readNeeded) return;
  if (!mayAppend(context)) return;
  const proposal = proposeNext(context);
  if (proposal === null) return;
  if (requestCommit(context, proposal)) return;
  const change = nameFirstGrantors(state.map, proposal.change);
  const writeId = beginAppend(context, {...proposal, change});
  if (proposal.command !== undefined) proposal.command.writeId = writeId;
}

/** Proposes the next change, by urgency. */
function proposeNext(context: OwnershipContext): ProposedChange | null {
  const {state} = context;
  if (state.phase === 'joining') return proposeJoin(context);
  if (state.phase === 'ending') return proposeOwnRemoval(context);
  return (
    proposeFirstOfEra(state) ??
    proposeEvictions(context) ??
    proposeOperatorChange(context) ??
    proposeReceived(context) ??
    proposeRelease(context) ??
    proposeOffer(context) ??
    proposeDrain(state) ??
    proposePlacement(context)
  );
}

/**
 * Proposes to join. If a host runs at most one daemon (`soleProcess`), this one
 * replaces its predecessor there and takes over its slices; otherwise the
 * predecessor has to be evicted (R4).
 */
function proposeJoin(context: OwnershipContext): ProposedChange {
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
  const isOwn = predecessor !== null && state.formerIds.has(predecessor);
  const replaces = soleProcess || isOwn ? predecessor : null;
  const member = state.self;
  return {
    change: {kind: 'joined', member, zone, address, operators, replaces},
    by: state.self,
  };
}

/**
 * Proposes an entry without a change as the first one after a restore, if this
 * member is the coordinator. It raises all generations, and whoever is paused
 * with a write that is conditional on an earlier entry can't append any more.
 */
function proposeFirstOfEra(state: OwnershipState): ProposedChange | null {
  const {map, restore, actsAsCoordinator, self} = state;
  if (!actsAsCoordinator || map.era >= restore.era) return null;
  return {change: {kind: 'combined', changes: []}, by: self};
}

/** Returns another member on this host: an earlier process or incarnation. */
function predecessorOf(state: OwnershipState): MemberId | null {
  for (const id of state.map.members.keys()) {
    if (id !== state.self && hostOf(id) === state.settings.host) return id;
  }
  return null;
}

/**
 * Proposes to remove this member, once the backend server can hold no slice
 * and, while the lease is valid, no run is in flight. Without a lease it
 * doesn't wait for runs.
 */
function proposeOwnRemoval(context: OwnershipContext): ProposedChange | null {
  const {state, at, work} = context;
  const mayRun = currentLease(state, at).source !== 'none';
  if (mayRun && work.inFlightTotal() > 0) return null;
  if (mayServerHoldAny(state.grants, at.monotonic)) return null;
  const {self, lease} = state;
  if (lease.revisionEra < state.restore.era) {
    // The removal is conditional on the row as the restored store has it.
    if (at.monotonic < lease.nextRowWriteAt) return null;
    lease.nextRowWriteAt = at.monotonic + OWN_ROW_READ_MS;
    readOwnRow(context);
    return null;
  }
  return {
    change: {kind: 'ended', members: [self]},
    by: self,
    removals: [{member: self, revision: storedRevision(lease)}],
  };
}

/** Proposes what the backend server announces, if it differs from the log. */
function proposeOffer(context: OwnershipContext): ProposedChange | null {
  const {state, at} = context;
  const {announcement, self} = state;
  const offer = state.map.members.get(self)?.offer ?? null;
  if (announcement === null) {
    if (offer === null && !isAnnouncementOverdue(context)) return null;
    return {change: {kind: 'withdrawn', member: self}, by: self};
  }
  const {service, instance, slots, leaving} = announcement;
  const isUnchanged =
    offer !== null &&
    offer.service === service &&
    offer.instance === instance &&
    offer.slots === slots &&
    offer.leaving === leaving;
  if (isUnchanged || (offer === null && !mayOfferServer(state, at))) {
    return null;
  }
  return {
    change: {kind: 'offered', member: self, service, instance, slots, leaving},
    by: self,
  };
}

/**
 * Returns whether this member replaced another and its backend server has not
 * announced itself in time.
 */
function isAnnouncementOverdue({state, at}: OwnershipContext): boolean {
  if (state.map.members.get(state.self)?.awaited !== true) return false;
  const {ttlMs} = state.settings.tuning.announcements;
  return at.monotonic - state.joinedAt > ttlMs;
}

/**
 * Proposes that slices move away from this member, if it was asked to stop.
 */
function proposeDrain(state: OwnershipState): ProposedChange | null {
  const {self, phase} = state;
  if (phase !== 'stopping') return null;
  if (state.map.members.get(self)?.draining === true) return null;
  return {change: {kind: 'draining', member: self}, by: self};
}

/** Proposes the next placement of slices, if this member is the coordinator. */
function proposePlacement(context: OwnershipContext): ProposedChange | null {
  const {state} = context;
  if (!state.actsAsCoordinator) return null;
  const change =
    placementFromMap(context) ??
    mergeRanges(context) ??
    rebalanceByLoad(context);
  return change === null ? null : {change, by: state.self};
}

/**
 * Returns the next placement that depends on the map alone. A log version
 * without one isn't checked again once the fleet has formed.
 */
function placementFromMap(context: OwnershipContext): Change | null {
  const {state, at} = context;
  const {map, formation, settings} = state;
  if (state.placementCheckedVersion === map.version) return null;
  const {formMs} = settings.tuning.membership;
  const formed = hasFormed(formation, map, at.monotonic, formMs);
  const change = nextPlacement(map, formed) ?? rebalanceByCount(state);
  if (change === null && formed) state.placementCheckedVersion = map.version;
  return change;
}

/**
 * Evens out the numbers of slices for services whose load isn't known well
 * enough. Numbers say nothing about the load of ordered keys, which waits until
 * it is measured.
 */
function rebalanceByCount(state: OwnershipState): Change | null {
  for (const service of configuredServices(state.map)) {
    if (hasOrderedKeys(state.map, service.name)) continue;
    if (hasEnoughLoad(state, service.name)) continue;
    const candidates = eligibleMembers(state.map, service.name);
    if (candidates.length < 2) continue;
    const change = rebalanceSliceCounts(state.map, service, candidates);
    if (change !== null) return change;
  }
  return null;
}

/** Joins ranges of slices, one service and one round at a time. */
function mergeRanges(context: OwnershipContext): Change | null {
  const {state, at} = context;
  if (at.monotonic < state.balance.mergeNotBefore) return null;
  state.balance.mergeNotBefore = at.monotonic + MERGE_CHECK_MS;
  for (const service of configuredServices(state.map)) {
    const candidates = eligibleMembers(state.map, service.name);
    const change = proposeMerges(context, service, candidates);
    if (change !== null) return change;
  }
  return null;
}

/** Evens out the load of services for which enough of it was reported. */
function rebalanceByLoad(context: OwnershipContext): Change | null {
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

/**
 * Decides whether this member acts as coordinator: the highest-ranked member
 * does, and each of the next ones while all ranked higher are silent. It sends
 * those a pull, so that one that is alive replies.
 */
function updateCoordinatorRole(context: OwnershipContext): void {
  const {state, at} = context;
  if (at.monotonic < state.nextRankCheckAt) return;
  state.nextRankCheckAt = at.monotonic + state.settings.tuning.leases.renewMs;
  const ranks = currentRanks(state).slice(0, MAX_COORDINATOR_RANKS);
  const rank = ranks.indexOf(state.self);
  const higherRanks = rank < 0 ? [] : ranks.slice(0, rank);
  const silent = (id: MemberId): boolean =>
    at.monotonic - lastHeardOrNow(context, id) > COORDINATOR_TIMEOUT_MS;
  const acts = rank >= 0 && higherRanks.every(silent);
  for (const id of higherRanks) {
    send(context, id, {kind: 'pull', after: state.map.version});
  }
  if (acts && !state.actsAsCoordinator) {
    log(context, 'coordinatorActs', {rank, version: state.map.version});
  }
  state.actsAsCoordinator = acts;
}

/**
 * Returns when a member was last heard. If it never was, records the present
 * time as such, so that its silence counts from the first check.
 */
function lastHeardOrNow(context: OwnershipContext, id: MemberId): number {
  const {state, at} = context;
  const known = state.lastHeardAt.get(id);
  if (known !== undefined) return known;
  state.lastHeardAt.set(id, at.monotonic);
  return at.monotonic;
}

/** Records since when this member offers a server but accepts no work. */
function trackWorkAcceptance(context: OwnershipContext): void {
  const {state, at} = context;
  const self = state.map.members.get(state.self);
  const isAccepting = self !== undefined && acceptsWork(state.map, self);
  const offers = self !== undefined && self.offer !== null;
  if (isAccepting || !offers) state.notAcceptingWorkSince = null;
  else state.notAcceptingWorkSince ??= at.monotonic;
}

/**
 * Begins to remove this member when a stop was requested and its slices have
 * moved away, or when every member on another host is silent or has revoked it,
 * and at least one has revoked it (R7).
 */
function removeSelfIfDue(context: OwnershipContext): void {
  const {state, at, work} = context;
  if (
    state.stopRequested &&
    state.settings.tuning.membership.returnsAfterStop
  ) {
    exitForRestart(context);
    return;
  }
  if (state.phase === 'stopping') {
    const drained = !ownsAnySlice(state) && work.inFlightTotal() === 0;
    const drainCommitted = state.map.members.get(state.self)?.draining === true;
    if (
      (drained && drainCommitted) ||
      at.monotonic > state.stopDeadline - REMOVAL_RESERVE_MS
    ) {
      state.phase = 'ending';
      state.runTasksNow = true;
    }
    return;
  }
  if (state.phase === 'ending' && state.stopRequested) {
    exitAfterDeadline(context);
  }
  if (state.phase !== 'joined' || !isRevokedByAll(state, at.monotonic)) return;
  state.phase = 'ending';
}

/**
 * Exits without removing this member from the workspace. A daemon that will be
 * restarted on the same host, with the same backend server, keeps its slices,
 * since they would only move away and back.
 */
function exitForRestart(context: OwnershipContext): void {
  const {state, at, work} = context;
  const {stopMs, stopServeMs} = state.settings.tuning.membership;
  const requestedAt = state.stopDeadline - stopMs;
  if (at.monotonic - requestedAt < stopServeMs) return;
  if (work.inFlightTotal() > 0 && at.monotonic < state.stopDeadline) return;
  state.phase = 'left';
  context.effects.push({kind: 'exitProcess'});
}

/**
 * Exits although the store did not commit the removal in time; other members
 * will evict this one.
 */
function exitAfterDeadline(context: OwnershipContext): void {
  const {state, at} = context;
  if (at.monotonic <= state.stopDeadline) return;
  state.phase = 'left';
  context.effects.push({kind: 'exitProcess'});
}

function ownsAnySlice(state: OwnershipState): boolean {
  const index = state.map.members.get(state.self)?.index;
  if (index === undefined) return false;
  for (const service of state.map.services.values()) {
    if (service.owner.includes(index)) return true;
  }
  return false;
}
