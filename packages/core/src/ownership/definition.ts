/** @fileoverview Ownership as a subsystem of the reducer. */

import {handleAuditReply} from '../commands/audit.js';
import {renderStatus} from '../commands/view.js';
import {handleLoadReport} from '../balance/load.js';
import {
  adoptConfiguration,
  handleConfigurationMessage,
} from '../configuration/logic.js';
import {handleGrantCallEnded} from '../grants/schedule.js';
import type {MemberId} from '../ids/types.js';
import {makeMemberId} from '../ids/logic.js';
import {changesOf} from '../log/logic.js';
import {
  handlePull,
  handlePeerVersion,
  retainEntry,
  pushEntry,
  handleEntries,
  handleTailReply,
} from '../log_replication/reader.js';
import {
  dropConflictedAppend,
  resolveAppend,
  handleAppendReply,
} from '../log_replication/writer.js';
import {
  forgetWatchedMembers,
  handleCleared,
  markUnresponsive,
  handleRenew,
} from '../leases/grantor.js';
import {
  recordReply,
  recordHeard,
  handleRenewed,
  handleOwnRowWritten,
} from '../leases/holder.js';
import {
  readOwnRow,
  applyOwnRow,
  applyNewerOwnRow,
  handleOwnRowRead,
} from '../leases/own_row.js';
import {createLeaseState} from '../leases/state.js';
import type {Change, CommittedEntry} from '../log/types.js';
import type {Subsystem} from '../loop/subsystem.js';
import type {Effect, Event, Input} from '../loop/types.js';
import {applyEntry, applyExternalConfiguration} from '../map/logic.js';
import {
  suspectMember,
  handleRevoked,
  handleEvictionRow,
  handleRevokeRequest,
  updateEvictionRows,
} from '../membership/evictions.js';
import type {ControlMessage, Message} from '../messages/types.js';
import {handleSlicesHandedBack} from '../moves/logic.js';
import {
  handleCommitterLost,
  handlePropose,
  recordApplied,
} from '../proposals/logic.js';
import {recordEvent} from '../configuration/freshness.js';
import {recordPoll} from '../configuration/source.js';
import type {CallId} from '../ids/types.js';
import {
  handleLoadPointerReply,
  handleLoadSnapshotReply,
  handleSnapshotReply,
} from '../snapshots/storage.js';
import {NO_ERA} from '../restore/era.js';
import {handleRestoreReply, isComparing} from '../restore/logic.js';
import {giveUpContradictedMap, replyOfEra} from '../restore/replies.js';
import type {Row, StoreReply} from '../store/types.js';
import {completeCommand, handleCommand} from './commands.js';
import {runDueTasks} from './due_tasks.js';
import {checkInvariants} from './invariants.js';
import {log, reportViolation} from './effects.js';
import {recordAllUnproven} from '../grants/unproven.js';
import {handleAnnouncement, handleServerGone} from './local_server.js';
import type {OwnershipContext, OwnershipState} from './state.js';
import type {WorkView} from './types.js';

/** What ownership needs from the other subsystems. */
export interface OwnershipDependencies {
  readonly work: WorkView;
}

/** Subsystem for members, leases, the map, its coordinator and commands. */
export const OWNERSHIP: Subsystem<OwnershipState, OwnershipDependencies> = {
  name: 'ownership',
  reduce: reduceOwnership,
  render: state => renderStatus(state, null),
};

function reduceOwnership(
  state: OwnershipState,
  input: Input,
  dependencies: OwnershipDependencies,
): Effect[] {
  const context = createContext(state, input, dependencies.work);
  if (state.settings.tuning.tenants.revokeMs > 0) {
    recordEvent(state.freshness, input.at);
  }
  handleEvent(context, input.event);
  if (input.event.kind === 'ticked' || state.runTasksNow) {
    state.runTasksNow = false;
    if (giveUpContradictedMap(context)) handleOwnRemoval(context);
    runDueTasks(context);
    checkInvariants(context);
  }
  return context.effects;
}

function createContext(
  state: OwnershipState,
  input: Input,
  work: WorkView,
): OwnershipContext {
  let random = input.random;
  return {
    state,
    at: input.at,
    effects: [],
    work,
    // One random number comes with each input; further ones follow from it, so
    // that the same input always has the same effects.
    random: () => {
      random = (random * 7919 + 0.618033988749895) % 1;
      return random;
    },
  };
}

function handleEvent(context: OwnershipContext, event: Event): void {
  const {state} = context;
  switch (event.kind) {
    case 'messageReceived':
      handleMessage(context, event.from, event.message);
      return;
    case 'storeReplied':
      handleStoreReply(context, event.call, event.reply);
      return;
    case 'announcementReceived':
      handleAnnouncement(context, event.announcement);
      return;
    case 'announcementExpired':
      if (state.announcement?.instance === event.instance) {
        handleServerGone(context, event.processEnded);
      }
      return;
    case 'commandReceived':
      handleCommand(context, event.command, event.token);
      return;
    case 'configurationRead':
      adoptConfiguration(context, event.configuration);
      return;
    case 'sourcePolled':
      recordPoll(context, event);
      return;
    case 'slicesGranted':
    case 'sliceGrantFailed':
      handleGrantCallEnded(context, event);
      return;
    case 'slicesReleased':
      handleSlicesHandedBack(context, event);
      return;
    case 'stopRequested':
      handleStopRequest(context);
      return;
    case 'linkLost':
      markUnresponsive(state, event.peer, context.at.monotonic);
      handleCommitterLost(context, event.peer);
      return;
    case 'ticked':
    case 'timerFired':
    case 'dispatchNotSent':
    case 'linkOpened':
    case 'requestAccepted':
    case 'callerDisconnected':
    case 'responseDelivered':
    case 'runWriteStarting':
    case 'runHeadReceived':
    case 'runEnded':
    case 'runFailed':
      return;
  }
}

function handleMessage(
  context: OwnershipContext,
  from: MemberId,
  message: Message,
): void {
  const {state, at} = context;
  state.lastHeardAt.set(from, at.monotonic);
  recordHeard(state.lease, from);
  switch (message.kind) {
    case 'renew':
    case 'renewed':
      handleLeaseMessage(context, from, message);
      return;
    case 'suspect':
      handleSuspect(context, from, message);
      return;
    case 'cleared':
      handleCleared(state, from, message.member, at.monotonic);
      return;
    case 'close':
      handleRevokeRequest(context, from, message);
      return;
    case 'closed':
      handleRevoked(context, from, message);
      return;
    case 'pull':
      handlePull(context, from, message.after);
      handlePeerVersion(context, from, message.after);
      return;
    case 'entries':
      recordReply(state.lease, from, at.monotonic);
      handleEntries(context, from, message, each => apply(context, each));
      return;
    case 'load':
      handleLoadReport(context, from, message);
      return;
    case 'configuration':
    case 'configurationNumber':
    case 'configurationConfirmed':
      handleConfigurationMessage(context, from, message);
      return;
    case 'propose':
      handlePropose(context, from, message);
      return;
    case 'dispatch':
    case 'body':
    case 'head':
    case 'data':
    case 'end':
    case 'failed':
    case 'credit':
    case 'cancel':
    case 'inquire':
    case 'fate':
    case 'quotaDemand':
    case 'quotaShares':
      return;
  }
}

function handleLeaseMessage(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'renew' | 'renewed'}>,
): void {
  if (message.kind === 'renew') handleRenew(context, from, message);
  else handleRenewed(context, from, message);
  handlePeerVersion(context, from, message.version);
}

function handleSuspect(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'suspect'}>,
): void {
  if (context.state.phase === 'joining') return;
  suspectMember(context, message.member, from, message);
}

function handleStoreReply(
  context: OwnershipContext,
  call: CallId,
  received: StoreReply,
): void {
  const {state} = context;
  const pending = state.pendingCalls.get(call);
  if (pending === undefined) return;
  state.pendingCalls.delete(call);
  const reply = replyOfEra(context, pending.purpose, received);
  if (reply === null) return;
  state.storeReachable = reply.kind !== 'refused' && reply.kind !== 'unknown';
  const {purpose} = pending;
  const isCurrentIncarnation = pending.issuedBy === state.self;
  switch (purpose.kind) {
    case 'append':
      handleAppendReply(
        context,
        purpose.writeId,
        reply,
        each => apply(context, each),
        rows => handleConflictRows(context, rows),
      );
      return;
    case 'rowWrite':
      if (isCurrentIncarnation) {
        handleOwnRowWritten(context, purpose.write, reply);
      }
      return;
    case 'rowRead':
      if (isCurrentIncarnation) handleOwnRowRead(context, reply);
      return;
    case 'tail':
      handleTailReply(context, reply, each => apply(context, each));
      dropConflictedAppend(context);
      return;
    case 'compareLog':
    case 'restoreEntries':
      handleRestoreReply(context, purpose, reply);
      return;
    case 'loadSnapshot':
      handleLoadedSnapshot(context, reply);
      return;
    case 'loadPointer':
      handleLoadPointerReply(context, reply);
      return;
    case 'snapshotPointer':
    case 'storeSnapshot':
    case 'pointSnapshot':
      handleSnapshotReply(context, purpose, reply);
      return;
    case 'evictionRead':
      handleEvictionRow(context, purpose.member, reply);
      return;
    case 'audit':
      handleAuditReply(context, purpose.token, purpose.search, reply);
      return;
  }
}

/** Adopts the rows that a conflict of an append returned. */
function handleConflictRows(
  context: OwnershipContext,
  rows: readonly Row[],
): void {
  updateEvictionRows(context, rows);
  if (context.state.lease.revision > 0) applyNewerOwnRow(context, rows);
}

/**
 * Handles a snapshot that replaces the map. It may skip log entries about this
 * member, so their effects are applied here.
 */
function handleLoadedSnapshot(
  context: OwnershipContext,
  reply: StoreReply,
): void {
  const {state} = context;
  if (!handleLoadSnapshotReply(context, reply)) return;
  if (state.externalConfiguration !== null) {
    applyExternalConfiguration(state.map, state.externalConfiguration);
  }
  state.runTasksNow = true;
  const {append} = state.logWriter;
  if (append !== null && append.entry.version <= state.map.version) {
    state.logWriter.append = null;
  }
  const isListed = state.map.members.has(state.self);
  // Another member may have committed that this one joins.
  const wasRemoved =
    state.phase === 'joining' ? state.map.ended.has(state.self) : !isListed;
  if (wasRemoved) handleOwnRemoval(context);
  if (state.phase === 'joining' && isListed) {
    state.phase = 'joined';
    recordJoined(context, true);
    readOwnRow(context);
  }
}

/** Applies an entry if it is the next one of the log; skips any other. */
function apply(context: OwnershipContext, committed: CommittedEntry): void {
  const {state, at} = context;
  const {entry} = committed;
  if (isComparing(context)) return;
  if (entry.version !== state.map.version + 1) return;
  applyEntry(state.map, committed, at.monotonic);
  retainEntry(state, committed);
  pushEntry(context, committed);
  state.runTasksNow = true;
  completeCommand(context, entry.writeId, entry.version);
  for (const change of changesOf(entry.change)) {
    handleAppliedChange(context, committed, change);
  }
  recordApplied(context, entry);
  resolveAppend(context, committed);
}

/** Logs what an entry changed, and handles changes of this member. */
function handleAppliedChange(
  context: OwnershipContext,
  committed: CommittedEntry,
  change: Change,
): void {
  const {state, at} = context;
  if (change.kind === 'joined' && change.member === state.self) {
    state.phase = 'joined';
    recordJoined(context, change.replaces !== null);
    const {append} = state.logWriter;
    const isOwn = append?.entry.writeId === committed.entry.writeId;
    // A member that committed the entry for this one was asked before it did.
    const {joinRequestedAt} = state.proposals;
    const sentAt = isOwn ? (append?.firstSentAt ?? null) : joinRequestedAt;
    const {era = NO_ERA} = committed.entry;
    // A restored store has lost the row of an entry that was put back (R8).
    const isCurrent = era === state.restore.era;
    applyOwnRow(
      context,
      {revision: committed.revision, era, writtenEra: era},
      change.grantors ?? [],
      isCurrent ? sentAt : null,
    );
    state.lease.nextRenewalAt = at.monotonic;
    log(context, 'memberJoined', {member: state.self});
  }
  if (change.kind === 'unreadable') {
    const key = state.keys.log(committed.entry.version);
    log(context, 'storedRowUnreadable', {key});
  }
  if (change.kind === 'configured') {
    log(context, 'configurationInForce', {number: change.number});
  }
  if (change.kind === 'joined' && change.replaces === state.self) {
    handleOwnRemoval(context);
  }
  if (change.kind !== 'ended') return;
  log(context, 'memberEnded', {members: change.members.join(' ')});
  if (change.members.includes(state.self)) handleOwnRemoval(context);
}

/**
 * Records that this member joined. If it replaced a predecessor, the
 * predecessor's slice grants may be valid for as long as its lease.
 */
function recordJoined(
  {state, at}: OwnershipContext,
  replacesPredecessor: boolean,
): void {
  const {leaseMs, marginMs} = state.settings.tuning.leases;
  state.joinedAt = at.monotonic;
  if (!replacesPredecessor) return;
  state.grants.predecessorGrantsUntil = at.monotonic + leaseMs + marginMs;
}

/**
 * Handles that this member was removed from the workspace: the process exits if
 * a stop was requested; otherwise it joins again under a new id.
 */
function handleOwnRemoval(context: OwnershipContext): void {
  const {state} = context;
  if (state.stopRequested) {
    state.phase = 'left';
    context.effects.push({kind: 'exitProcess'});
    return;
  }
  const {host, incarnation} = state.settings;
  state.incarnationCount += 1;
  const next = `${incarnation}.${state.incarnationCount}`;
  log(context, 'memberRejoins', {member: state.self});
  state.self = makeMemberId(host, next);
  state.phase = 'joining';
  state.lease = createLeaseState();
  state.proposals.joinRequestedAt = null;
  state.proposals.newcomers.length = 0;
  forgetWatchedMembers(state);
  state.evictions.clear();
  state.drains.clear();
  recordAllUnproven(state.grants);
  state.releasesUnderWay.clear();
  state.notAcceptingWorkSince = null;
  if (state.map.members.has(state.self)) {
    reportViolation(context, 'incarnations-are-unique', state.self);
  }
}

/**
 * Begins a requested stop. A daemon that will be restarted on the same host,
 * with the same backend server, keeps its slices and doesn't drain.
 */
function handleStopRequest(context: OwnershipContext): void {
  const {state, at} = context;
  state.stopRequested = true;
  const {stopMs, returnsAfterStop} = state.settings.tuning.membership;
  state.stopDeadline = at.monotonic + stopMs;
  if (returnsAfterStop && state.phase !== 'joining') return;
  if (state.phase === 'joined') state.phase = 'stopping';
  state.runTasksNow = true;
  if (state.phase !== 'joining') return;
  state.phase = 'left';
  context.effects.push({kind: 'exitProcess'});
}
