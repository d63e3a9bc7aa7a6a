/** @fileoverview Ownership as a subject of the reducer. */

import {handleAuditReply} from '../commands/audit.js';
import {renderStatus} from '../commands/view.js';
import {handleLoadReport} from '../balance/load.js';
import {clearConfirmed, clearGrants, confirmGrant} from '../grants/logic.js';
import type {MemberId} from '../ids/types.js';
import {makeMemberId} from '../ids/logic.js';
import {
  handlePull,
  handlePeerVersion,
  retainEntry,
  pushEntry,
  handleEntries,
  handleTailReply,
} from '../journal/reader.js';
import {
  dropConflictedAppend,
  resolveAppend,
  handleAppendReply,
} from '../journal/writer.js';
import {
  stopWatching,
  closeMember,
  suspectImmediately,
  handleRenew,
} from '../leases/grantor.js';
import {
  recordAnswered,
  recordHeard,
  readOwnRow,
  applyOwnRow,
  applyNewerOwnRow,
  handleRenewed,
  handleOwnRowRead,
  handleOwnRowWritten,
} from '../leases/holder.js';
import {createLeaseState} from '../leases/state.js';
import type {CommittedEntry} from '../log/types.js';
import type {Subsystem} from '../loop/subsystem.js';
import type {
  Effect,
  Event,
  Input,
  ExternalConfiguration,
} from '../loop/types.js';
import {applyEntry, applyExternalConfiguration} from '../map/logic.js';
import {
  suspectMember,
  handleClosed,
  handleEvictionRow,
  updateEvictionRows,
} from '../membership/evictions.js';
import type {ControlMessage, Message} from '../messages/types.js';
import {handleKeysReleased} from '../moves/logic.js';
import type {CallId} from '../ids/types.js';
import {
  handleLoadPointerReply,
  handlePointSnapshotReply,
  handleSnapshotPointerReply,
  handleLoadSnapshotReply,
  handleStoreSnapshotReply,
} from '../snapshots/storage.js';
import type {Row, StoreReply} from '../store/types.js';
import {completeCommand, handleCommand} from './commands.js';
import {runDueTasks} from './due_tasks.js';
import {checkInvariants} from './invariants.js';
import {log, send, reportViolation} from './effects.js';
import type {OwnershipContext, OwnershipState} from './state.js';
import type {WorkView} from './types.js';

/** What ownership asks of the other subjects. */
export interface OwnershipDependencies {
  readonly work: WorkView;
}

/** Members, leases, the map, its coordinator and operators' commands. */
export const OWNERSHIP: Subsystem<OwnershipState, OwnershipDependencies> = {
  name: 'ownership',
  reduce: reduceOwnership,
  render: state => renderStatus(state, null),
};

function reduceOwnership(
  state: OwnershipState,
  input: Input,
  peers: OwnershipDependencies,
): Effect[] {
  const context = contextOf(state, input, peers.work);
  takeEvent(context, input.event);
  if (input.event.kind === 'ticked' || state.dirty) {
    state.dirty = false;
    runDueTasks(context);
    checkInvariants(context);
  }
  return context.effects;
}

function contextOf(
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
    random: () => {
      random = (random * 7919 + 0.618033988749895) % 1;
      return random;
    },
  };
}

function takeEvent(context: OwnershipContext, event: Event): void {
  const {state} = context;
  switch (event.kind) {
    case 'received':
      takeMessage(context, event.from, event.message);
      return;
    case 'storeReplied':
      takeReply(context, event.call, event.reply);
      return;
    case 'announced':
      if (state.announcement?.instance !== event.announcement.instance) {
        clearConfirmed(state.grants);
      }
      state.announcement = event.announcement;
      state.dirty = true;
      return;
    case 'announcementLapsed':
      if (state.announcement?.instance === event.instance) {
        noteServerGone(state, event.ended);
      }
      return;
    case 'commanded':
      handleCommand(context, event.command, event.token);
      return;
    case 'configurationRead':
      takeSourced(context, event.configuration);
      return;
    case 'keysGranted':
      confirmGrant(state.grants, event);
      return;
    case 'keysReleased':
      handleKeysReleased(context, event);
      return;
    case 'stopRequested':
      requestStop(context);
      return;
    case 'linkLost':
      suspectImmediately(state, event.peer, context.at.monotonic);
      return;
    case 'ticked':
    case 'woken':
    case 'unsent':
    case 'linkOpened':
    case 'taken':
    case 'hungUp':
    case 'answered':
    case 'runWritten':
    case 'runHead':
    case 'runEnded':
    case 'runFailed':
      return;
  }
}

/** A server that has ended holds nothing; a silent one may. */
function noteServerGone(state: OwnershipState, ended: boolean): void {
  const leaves = state.announcement?.leaving === true;
  state.announcement = null;
  if (ended && !leaves) clearGrants(state.grants);
  else clearConfirmed(state.grants);
  state.dirty = true;
}

function takeMessage(
  context: OwnershipContext,
  from: MemberId,
  message: Message,
): void {
  const {state, at} = context;
  state.lastHeardAt.set(from, at.monotonic);
  recordHeard(state.lease, from);
  switch (message.kind) {
    case 'renew':
      handleRenew(context, from, message);
      handlePeerVersion(context, from, message.version);
      return;
    case 'renewed':
      handleRenewed(context, from, message);
      handlePeerVersion(context, from, message.version);
      return;
    case 'suspect':
      if (state.phase !== 'joining') {
        suspectMember(context, message.member, from, message);
      }
      return;
    case 'cleared':
      stopWatching(state, message.member, at.monotonic);
      return;
    case 'close':
      answerClose(context, from, message);
      return;
    case 'closed':
      handleClosed(context, from, message);
      return;
    case 'configuration':
      takeSourced(context, message);
      return;
    case 'pull':
      handlePull(context, from, message.after);
      handlePeerVersion(context, from, message.after);
      return;
    case 'entries':
      recordAnswered(state.lease, from, at.monotonic);
      handleEntries(context, from, message, each => apply(context, each));
      return;
    case 'load':
      handleLoadReport(context, from, message);
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
      return;
  }
}

function answerClose(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'close'}>,
): void {
  const {member, round} = message;
  const closed = closeMember(context.state, member, context.at.monotonic);
  send(context, from, {kind: 'closed', member, round, closed});
}

function takeReply(
  context: OwnershipContext,
  call: CallId,
  answer: StoreReply,
): void {
  const {state} = context;
  const pending = state.pendingCalls.get(call);
  if (pending === undefined) return;
  state.pendingCalls.delete(call);
  state.storeReachable = answer.kind !== 'refused' && answer.kind !== 'unknown';
  const {purpose} = pending;
  const own = pending.madeBy === state.self;
  switch (purpose.kind) {
    case 'append':
      handleAppendReply(
        context,
        purpose.writeId,
        answer,
        each => apply(context, each),
        rows => takeConflictRows(context, rows),
      );
      return;
    case 'rowWrite':
      if (own) handleOwnRowWritten(context, purpose.write, answer);
      return;
    case 'rowRead':
      if (own) handleOwnRowRead(context, answer);
      return;
    case 'tail':
      handleTailReply(context, answer, each => apply(context, each));
      dropConflictedAppend(context);
      return;
    case 'loadSnapshot':
      takeLoaded(context, answer);
      return;
    case 'loadPointer':
      handleLoadPointerReply(context, answer);
      return;
    case 'snapshotPointer':
      handleSnapshotPointerReply(context, answer);
      return;
    case 'storeSnapshot':
      handleStoreSnapshotReply(context, purpose.version, answer);
      return;
    case 'pointSnapshot':
      handlePointSnapshotReply(context, purpose.pointer, answer);
      return;
    case 'evictionRead':
      handleEvictionRow(context, purpose.member, answer);
      return;
    case 'audit':
      handleAuditReply(context, purpose.token, purpose.search, answer);
      return;
  }
}

function takeConflictRows(
  context: OwnershipContext,
  rows: readonly Row[],
): void {
  updateEvictionRows(context, rows);
  if (context.state.lease.revision > 0) applyNewerOwnRow(context, rows);
}

function takeLoaded(context: OwnershipContext, answer: StoreReply): void {
  const {state} = context;
  if (!handleLoadSnapshotReply(context, answer)) return;
  if (state.externalConfiguration !== null)
    applyExternalConfiguration(state.map, state.externalConfiguration);
  state.dirty = true;
  const {append} = state.logWriter;
  if (append !== null && append.entry.version <= state.map.version) {
    state.logWriter.append = null;
  }
  const listed = state.map.members.has(state.self);
  if (state.phase !== 'joining' && !listed) onOwnEnd(context);
  if (state.phase === 'joining' && listed) {
    state.phase = 'joined';
    readOwnRow(context);
  }
}

/** The highest number seen wins, from whatever side it comes. */
function takeSourced(
  context: OwnershipContext,
  newer: ExternalConfiguration,
): void {
  const {state} = context;
  const {number, document, zonesOut} = newer;
  if (number <= (state.externalConfiguration?.number ?? 0)) return;
  state.externalConfiguration = {number, document, zonesOut};
  applyExternalConfiguration(state.map, state.externalConfiguration);
  state.placementSettledVersion = -1;
  state.dirty = true;
  log(context, 'configurationInForce', {number, zonesOut: zonesOut.join(' ')});
}

/** Applies the next entry of the log; others are skipped. */
function apply(context: OwnershipContext, committed: CommittedEntry): void {
  const {state, at} = context;
  const {entry} = committed;
  if (entry.version !== state.map.version + 1) return;
  applyEntry(state.map, committed, at.monotonic);
  retainEntry(state, committed);
  pushEntry(context, committed);
  state.dirty = true;
  completeCommand(context, entry.writeId, entry.version);
  noteOwnChange(context, committed);
  resolveAppend(context, committed);
}

function noteOwnChange(
  context: OwnershipContext,
  committed: CommittedEntry,
): void {
  const {state, at} = context;
  const {change} = committed.entry;
  if (change.kind === 'joined' && change.member === state.self) {
    state.phase = 'joined';
    noteJoined(context, change.replaces !== null);
    const {append} = state.logWriter;
    const sentAt = append?.firstSentAt ?? null;
    applyOwnRow(context, committed.revision, [], sentAt);
    state.lease.nextRenewalAt = at.monotonic;
    log(context, 'memberJoined', {member: state.self});
  }
  if (change.kind === 'configured') {
    log(context, 'configurationInForce', {number: change.number});
  }
  if (change.kind === 'joined' && change.replaces === state.self) {
    onOwnEnd(context);
  }
  if (change.kind !== 'ended') return;
  log(context, 'memberEnded', {members: change.members.join(' ')});
  if (change.members.includes(state.self)) onOwnEnd(context);
}

/** What the predecessor granted last holds for as long as its lease could. */
function noteJoined({state, at}: OwnershipContext, replaces: boolean): void {
  const {leaseMs, marginMs} = state.settings.tuning.leases;
  state.joinedAt = at.monotonic;
  if (!replaces) return;
  state.grants.inheritedUntil = at.monotonic + leaseMs + marginMs;
}

function onOwnEnd(context: OwnershipContext): void {
  const {state} = context;
  if (state.stopRequested) {
    state.phase = 'left';
    context.effects.push({kind: 'leave'});
    return;
  }
  const {host, incarnation} = state.settings;
  state.incarnationCount += 1;
  const next = `${incarnation}.${state.incarnationCount}`;
  log(context, 'memberRejoins', {member: state.self});
  state.self = makeMemberId(host, next);
  state.phase = 'joining';
  state.lease = createLeaseState();
  state.watchedMembers.clear();
  state.closed.clear();
  state.evictions.clear();
  state.drains.clear();
  state.notTakingWorkSince = null;
  if (state.map.members.has(state.self)) {
    reportViolation(context, 'incarnations-are-unique', state.self);
  }
}

function requestStop(context: OwnershipContext): void {
  const {state, at} = context;
  state.stopRequested = true;
  const {stopMs, returnsAfterStop} = state.settings.tuning.membership;
  state.stopDeadline = at.monotonic + stopMs;
  if (returnsAfterStop && state.phase !== 'joining') return;
  if (state.phase === 'joined') state.phase = 'stopping';
  state.dirty = true;
  if (state.phase !== 'joining') return;
  state.phase = 'left';
  context.effects.push({kind: 'leave'});
}
