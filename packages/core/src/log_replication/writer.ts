/**
 * @fileoverview Appending to the replicated log, one entry at a time. A write
 * is conditional on its log row being absent, so that each version is written
 * once.
 */

import type {WriteId} from '../ids/types.js';
import {
  auditRowOf,
  changesOf,
  nextVersion,
  parseLogRow,
  serializeEntry,
} from '../log/logic.js';
import type {Change, CommittedEntry, Entry} from '../log/types.js';
import type {MemberRow} from '../leases/types.js';
import {callStore, log, newWriteId} from '../ownership/effects.js';
import type {
  OwnershipContext,
  OwnershipState,
  ProposedChange,
} from '../ownership/state.js';
import {NO_ERA} from '../restore/era.js';
import type {
  RowCheck,
  RowPut,
  Row,
  StoreReply,
  Transaction,
} from '../store/types.js';
import type {PendingAppend} from './types.js';

/**
 * Base of the exponential backoff after failed tries; with jitter, the first
 * delay is 100 to 200 ms.
 */
const RETRY_BASE_DELAY_MS = 100;
/** Limit on the doublings of a delay after consecutive failures. */
const MAX_DOUBLINGS = 6;

/**
 * Starts to append an entry at the version that follows the map's.
 *
 * @param context - Context of the current input.
 * @param proposed - The change, and the rows it is conditional on.
 * @returns The id of the write.
 */
export function beginAppend(
  context: OwnershipContext,
  proposed: ProposedChange,
): WriteId {
  const {state, at} = context;
  const writeId = newWriteId(context);
  const {era} = state.restore;
  const entry: Entry = {
    version: nextVersion(state.map.version),
    writeId,
    by: proposed.by,
    at: at.wall,
    change: proposed.change,
    ...(era === NO_ERA ? {} : {era}),
  };
  state.logWriter.append = {
    entry,
    transaction: buildTransaction(state, entry, proposed),
    firstSentAt: at,
    inFlight: false,
    unresolved: false,
    tries: 0,
    retryAt: 0,
    conflictedAt: null,
  };
  sendAppend(context, state.logWriter.append);
  return writeId;
}

/**
 * Sends the pending append again once its backoff is over.
 *
 * @param context - Context of the current input.
 */
export function retryAppendIfDue(context: OwnershipContext): void {
  const {append} = context.state.logWriter;
  if (append === null || append.inFlight) return;
  if (context.at.monotonic >= append.retryAt) sendAppend(context, append);
}

/**
 * Handles the store's reply to a try of the pending append. A refused try is
 * given up unless an earlier one may still take effect; a try without a reply
 * is repeated until the log shows which entry its version has.
 *
 * @param context - Context of the current input.
 * @param writeId - Id of the write that was tried.
 * @param reply - The reply.
 * @param apply - Applies an entry that the reply shows to be committed.
 * @param handleRows - Handles the rows that a conflict returns.
 */
export function handleAppendReply(
  context: OwnershipContext,
  writeId: WriteId,
  reply: StoreReply,
  apply: (committed: CommittedEntry) => void,
  handleRows: (rows: readonly Row[]) => void,
): void {
  const {state} = context;
  const {append} = state.logWriter;
  if (append === null || append.entry.writeId !== writeId) return;
  append.inFlight = false;
  switch (reply.kind) {
    case 'committed':
      state.logWriter.failures = 0;
      logCommitted(context, append.entry);
      apply({entry: append.entry, revision: reply.revision});
      return;
    case 'conflict':
      handleConflict(context, append, reply.rows, apply);
      handleRows(reply.rows);
      return;
    case 'refused':
      if (!append.unresolved) state.logWriter.append = null;
      backOff(context, append);
      return;
    case 'unknown':
      append.unresolved = true;
      state.logReader.readNeeded = true;
      backOff(context, append);
      return;
    case 'rows':
    case 'object':
    case 'stored':
      return;
  }
}

/**
 * Clears the pending append once an entry of its version is applied. If that
 * is another daemon's entry, the next append waits for a random delay.
 *
 * @param context - Context of the current input.
 * @param committed - An entry that was just applied.
 */
export function resolveAppend(
  context: OwnershipContext,
  committed: CommittedEntry,
): void {
  const {logWriter} = context.state;
  const {append} = logWriter;
  if (append === null) return;
  if (committed.entry.version < append.entry.version) return;
  logWriter.append = null;
  if (committed.entry.writeId === append.entry.writeId) return;
  logWriter.failures += 1;
  logWriter.notBefore = context.at.monotonic + raceDelayMs(context);
}

/**
 * Clears a pending append that can no longer succeed, once a read of the log
 * that was sent after the conflict has shown that no earlier try was committed.
 *
 * @param context - Context of the current input.
 */
export function dropConflictedAppend(context: OwnershipContext): void {
  const {logWriter, logReader} = context.state;
  const conflictedAt = logWriter.append?.conflictedAt ?? null;
  if (conflictedAt === null || logReader.readNeeded || logReader.inFlight) {
    return;
  }
  if (logReader.lastReadSentAt >= conflictedAt) logWriter.append = null;
}

function logCommitted(context: OwnershipContext, entry: Entry): void {
  const {version, by, change} = entry;
  log(context, 'changeCommitted', {version, by, change: change.kind});
}

function handleConflict(
  context: OwnershipContext,
  append: PendingAppend,
  rows: readonly Row[],
  apply: (committed: CommittedEntry) => void,
): void {
  const {state} = context;
  const key = state.keys.log(append.entry.version);
  const committedRow = rows.find(row => row.key === key && row.revision > 0);
  if (committedRow !== undefined) {
    // Entries after this one are pushed, or returned by the next conflict.
    const committed = parseLogRow(committedRow);
    if (committed !== null) apply(committed);
    return;
  }
  state.logReader.readNeeded = true;
  state.logReader.notBefore = context.at.monotonic;
  // A row that the append is conditional on has changed. Revisions are never
  // reused, so retries can't succeed. An earlier try may have been committed;
  // reading the log will show it.
  append.conflictedAt = context.at.monotonic;
  append.retryAt = Infinity;
  state.logWriter.notBefore = context.at.monotonic + raceDelayMs(context);
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

function backOff(context: OwnershipContext, append: PendingAppend): void {
  const {state, at} = context;
  const {logWriter} = state;
  logWriter.failures += 1;
  const doublings = Math.min(logWriter.failures, MAX_DOUBLINGS);
  const maxDelayMs = state.settings.tuning.store.maxBackoffMs;
  const waitMs = Math.min(maxDelayMs, RETRY_BASE_DELAY_MS * 2 ** doublings);
  const until = at.monotonic + waitMs * (0.5 + context.random() / 2);
  append.retryAt = until;
  logWriter.notBefore = until;
}

/**
 * Random delay after another writer committed the version first: up to 25 ms,
 * doubled for each consecutive failure.
 */
function raceDelayMs(context: OwnershipContext): number {
  const {failures} = context.state.logWriter;
  const doublings = Math.min(failures, MAX_DOUBLINGS);
  return context.random() * 25 * 2 ** doublings;
}

/**
 * Writes the log row and the rows that the change concerns. Conditional on the
 * log row being absent, on the previous log row being the one that was applied,
 * and on the rows of members that the change adds or removes.
 */
function buildTransaction(
  state: OwnershipState,
  entry: Entry,
  proposed: ProposedChange,
): Transaction {
  const {keys, map} = state;
  const text = serializeEntry(entry);
  const checks: RowCheck[] = [{key: keys.log(entry.version), revision: 0}];
  const puts: RowPut[] = [{key: keys.log(entry.version), value: text}];
  if (map.version > 0) {
    checks.push({key: keys.log(map.version), revision: map.revision});
  }
  for (const {member, revision} of proposed.removals ?? []) {
    checks.push({key: keys.member(member), revision});
    puts.push({key: keys.member(member), value: null});
  }
  for (const change of changesOf(entry.change)) {
    addRowsOfChange(state, entry, change, checks, puts);
  }
  const audited = auditRowOf(keys, entry);
  if (audited !== null) puts.push(audited);
  return {writeId: entry.writeId, checks, puts};
}

function addRowsOfChange(
  state: OwnershipState,
  entry: Entry,
  change: Change,
  checks: RowCheck[],
  puts: RowPut[],
): void {
  const {keys} = state;
  if (change.kind === 'joined') {
    const key = keys.member(change.member);
    checks.push({key, revision: 0});
    puts.push({key, value: JSON.stringify(initialMemberRow(entry, change))});
    if (change.replaces !== null) {
      puts.push({key: keys.member(change.replaces), value: null});
    }
  }
  if (change.kind === 'configured') {
    puts.push({key: keys.configuration, value: change.document});
  }
}

function initialMemberRow(
  entry: Entry,
  change: Extract<Entry['change'], {kind: 'joined'}>,
): MemberRow {
  return {
    member: change.member,
    zone: change.zone,
    address: change.address,
    grantors: change.grantors ?? [],
    writeId: entry.writeId,
    ...(entry.era === undefined ? {} : {era: entry.era}),
  };
}
