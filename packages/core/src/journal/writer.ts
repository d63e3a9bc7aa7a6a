/** @fileoverview Writing one entry at a time, conditional on the version. */

import type {WriteId} from '../ids/types.js';
import {parseLogRow, serializeEntry, nextVersion} from '../log/logic.js';
import type {CommittedEntry, Entry} from '../log/types.js';
import type {MemberRow} from '../leases/types.js';
import {callStore, log, newWriteId} from '../ownership/effects.js';
import type {OwnershipContext, OwnershipState, ProposedChange} from '../ownership/state.js';
import type {RowCheck, RowPut, Row, StoreReply, Transaction} from '../store/types.js';
import type {PendingAppend} from './types.js';

/** Least wait after a failed try. */
const RETRY_MS = 100;
/** Doublings of the wait after failures in a row. */
const MOST_DOUBLINGS = 6;
/** Write ids that are remembered. */
const REMEMBERED_WRITES = 256;

/**
 * Begins to write an entry at the version after the map's.
 *
 * @param context - The step.
 * @param wanted - The change and its conditions.
 * @returns The id of the write.
 */
export function beginAppend(context: OwnershipContext, wanted: ProposedChange): WriteId {
  const {state, at} = context;
  const writeId = newWriteId(context);
  const entry: Entry = {
    version: nextVersion(state.map.version),
    writeId,
    by: wanted.by,
    at: at.wall,
    change: wanted.change,
  };
  state.logWriter.append = {
    entry,
    transaction: transactionOf(state, entry, wanted),
    firstSentAt: at,
    inFlight: false,
    unresolved: false,
    tries: 0,
    retryAt: 0,
    conflictedAt: null,
  };
  remember(state, writeId, entry);
  sendAppend(context, state.logWriter.append);
  return writeId;
}

/**
 * Sends the current entry again when its time has come.
 *
 * @param context - The step.
 */
export function retryAppendIfDue(context: OwnershipContext): void {
  const {append} = context.state.logWriter;
  if (append === null || append.inFlight) return;
  if (context.at.monotonic >= append.retryAt) sendAppend(context, append);
}

/**
 * Takes the platform's reply to a try.
 *
 * @param context - The step.
 * @param writeId - Id of the write that was tried.
 * @param answer - The reply.
 * @param apply - Applies an entry that the reply proves.
 * @param takeRows - Looks at other rows of a conflict.
 */
export function handleAppendReply(
  context: OwnershipContext,
  writeId: WriteId,
  answer: StoreReply,
  apply: (committed: CommittedEntry) => void,
  takeRows: (rows: readonly Row[]) => void,
): void {
  const {state} = context;
  const {append} = state.logWriter;
  if (append === null || append.entry.writeId !== writeId) return;
  append.inFlight = false;
  switch (answer.kind) {
    case 'committed':
      state.logWriter.failures = 0;
      logCommitted(context, append.entry);
      apply({entry: append.entry, revision: answer.revision});
      return;
    case 'conflict':
      takeConflict(context, append, answer.rows, apply);
      takeRows(answer.rows);
      return;
    case 'refused':
      if (!append.unresolved) state.logWriter.append = null;
      waitLonger(context, append);
      return;
    case 'unknown':
      append.unresolved = true;
      state.logReader.readNeeded = true;
      waitLonger(context, append);
      return;
    case 'rows':
    case 'object':
    case 'stored':
      return;
  }
}

/**
 * Drops the current entry once its version is taken.
 *
 * @param context - The step.
 * @param committed - An entry that was just applied.
 */
export function resolveAppend(context: OwnershipContext, committed: CommittedEntry): void {
  const {logWriter: journal} = context.state;
  const {append} = journal;
  if (append === null) return;
  if (committed.entry.version < append.entry.version) return;
  journal.append = null;
  if (committed.entry.writeId === append.entry.writeId) return;
  journal.failures += 1;
  journal.notBefore = context.at.monotonic + raceWaitMs(context);
}

/**
 * Drops an entry that can't succeed any more, once the log was read after
 * that became known and does not have it.
 *
 * @param context - The step.
 */
export function dropConflictedAppend(context: OwnershipContext): void {
  const {logWriter: journal, logReader: sync} = context.state;
  const doomedAt = journal.append?.conflictedAt ?? null;
  if (doomedAt === null || sync.readNeeded || sync.inFlight) return;
  if (sync.lastReadSentAt >= doomedAt) journal.append = null;
}

function logCommitted(context: OwnershipContext, entry: Entry): void {
  const {version, by, change} = entry;
  log(context, 'changeCommitted', {version, by, change: change.kind});
}

function takeConflict(
  context: OwnershipContext,
  append: PendingAppend,
  rows: readonly Row[],
  apply: (committed: CommittedEntry) => void,
): void {
  const {state} = context;
  const key = state.keys.log(append.entry.version);
  const taken = rows.find(row => row.key === key && row.revision > 0);
  state.logReader.readNeeded = true;
  state.logReader.notBefore = context.at.monotonic;
  if (taken !== undefined) {
    apply(parseLogRow(taken));
    return;
  }
  // A row that it is conditional on has changed. Revisions never return, so no
  // try can succeed any more; an earlier one may have, which the log will show.
  append.conflictedAt = context.at.monotonic;
  append.retryAt = Infinity;
  state.logWriter.notBefore = context.at.monotonic + raceWaitMs(context);
}

function sendAppend(context: OwnershipContext, append: PendingAppend): void {
  append.inFlight = true;
  append.tries += 1;
  callStore(
    context,
    {kind: 'append', writeId: append.entry.writeId},
    {kind: 'commit', transaction: append.transaction},
  );
}

function waitLonger(context: OwnershipContext, append: PendingAppend): void {
  const {state, at} = context;
  const {logWriter: journal} = state;
  journal.failures += 1;
  const doublings = Math.min(journal.failures, MOST_DOUBLINGS);
  const mostMs = state.settings.tuning.store.maxBackoffMs;
  const waitMs = Math.min(mostMs, RETRY_MS * 2 ** doublings);
  const until = at.monotonic + waitMs * (0.5 + context.random() / 2);
  append.retryAt = until;
  journal.notBefore = until;
}

/** Writers that lost a race wait for a random time. */
function raceWaitMs(context: OwnershipContext): number {
  const {failures} = context.state.logWriter;
  const doublings = Math.min(failures, MOST_DOUBLINGS);
  return context.random() * 25 * 2 ** doublings;
}

function transactionOf(
  state: OwnershipState,
  entry: Entry,
  wanted: ProposedChange,
): Transaction {
  const {keys, map} = state;
  const text = serializeEntry(entry);
  const checks: RowCheck[] = [{key: keys.log(entry.version), revision: 0}];
  const puts: RowPut[] = [{key: keys.log(entry.version), value: text}];
  if (map.version > 0) {
    checks.push({key: keys.log(map.version), revision: map.revision});
  }
  for (const {member, revision} of wanted.ends ?? []) {
    checks.push({key: keys.member(member), revision});
    puts.push({key: keys.member(member), value: null});
  }
  addRowsOfChange(state, entry, checks, puts);
  return {writeId: entry.writeId, checks, puts};
}

function addRowsOfChange(
  state: OwnershipState,
  entry: Entry,
  checks: RowCheck[],
  puts: RowPut[],
): void {
  const {keys} = state;
  const {change} = entry;
  if (change.kind === 'joined') {
    const key = keys.member(change.member);
    checks.push({key, revision: 0});
    puts.push({key, value: JSON.stringify(firstRow(entry, change))});
    if (change.replaces !== null) {
      puts.push({key: keys.member(change.replaces), value: null});
    }
  }
  if (change.kind === 'configured') {
    puts.push({key: keys.configuration, value: change.document});
  }
  if (isAudited(entry)) {
    puts.push({key: keys.audit(entry.version), value: auditText(entry)});
  }
}

function firstRow(
  entry: Entry,
  change: Extract<Entry['change'], {kind: 'joined'}>,
): MemberRow {
  return {
    member: change.member,
    zone: change.zone,
    address: change.address,
    grantors: [],
    writeId: entry.writeId,
  };
}

/** Placement changes are left out: the log has them, operators did not. */
function isAudited(entry: Entry): boolean {
  switch (entry.change.kind) {
    case 'configured':
    case 'zone':
    case 'draining':
    case 'ended':
    case 'joined':
      return true;
    case 'offered':
    case 'withdrawn':
    case 'placed':
    case 'moving':
    case 'released':
      return false;
  }
}

function auditText(entry: Entry): string {
  const {version, by, at, change} = entry;
  const what = {...change, document: undefined};
  return JSON.stringify({by, at, from: version - 1, to: version, what});
}

function remember(state: OwnershipState, writeId: WriteId, entry: Entry): void {
  const {recentWrites: written} = state.logWriter;
  written.set(writeId, entry.version);
  if (written.size <= REMEMBERED_WRITES) return;
  const oldest = written.keys().next().value;
  if (oldest !== undefined) written.delete(oldest);
}
