/**
 * @fileoverview Comparing applied entries with the log of a restored store, and
 * writing back those that it lost.
 */

import type {Version, WriteId} from '../ids/types.js';
import type {StoreKeys} from '../log/logic.js';
import {
  auditRowOf,
  changesOf,
  nextVersion,
  parseLogRow,
  textOf,
} from '../log/logic.js';
import type {CommittedEntry} from '../log/types.js';
import type {Row, RowCheck, RowPut, Transaction} from '../store/types.js';
import type {LogComparison, LostEntries} from './types.js';

/**
 * Maximum number of entries that one transaction writes back. Each takes a
 * condition and up to two rows, of the 100 that a store accepts.
 */
const MAX_ENTRIES_PER_WRITE = 30;
/** Maximum length of the entries of one such transaction. */
const MAX_WRITE_CHARACTERS = 200_000;

/**
 * Compares entries with rows of the store's log. Each entry was conditional on
 * the row before it, so that an equal row means that all before it are equal.
 *
 * @param entries - Applied entries, the oldest first, without gaps; the last one
 *     is that of the map's version.
 * @param rows - Rows of the log from the first of these entries on.
 * @returns Whether the rows have all entries, lack the last ones, or contradict
 *     them. Without an entry in common nothing is known, which counts as a
 *     contradiction.
 */
export function compareLog(
  entries: readonly CommittedEntry[],
  rows: readonly Row[],
): LogComparison {
  const found = new Map<Version, Row>();
  let highest = 0;
  for (const row of rows) {
    const version = parseLogRow(row)?.entry.version;
    if (version === undefined) continue;
    found.set(version, row);
    highest = Math.max(highest, version);
  }
  let common: LostEntries | null = null;
  for (const committed of entries) {
    const {version} = committed.entry;
    const row = found.get(version);
    if (row === undefined) continue;
    if (row.value !== textOf(committed)) {
      return {kind: 'contradicts', detail: `version ${version} differs`};
    }
    common = {after: version, revision: row.revision};
  }
  const last = entries.at(-1)?.entry.version;
  if (common === null || last === undefined) {
    return {kind: 'contradicts', detail: 'no entry in common'};
  }
  if (common.after === last) return {kind: 'same', revision: common.revision};
  if (highest > common.after) {
    return {kind: 'contradicts', detail: `gap after ${common.after}`};
  }
  return {kind: 'lacks', lost: common};
}

/**
 * Builds the write of entries that the store lost, in order and byte for byte,
 * with their rows of the audit trail.
 *
 * @param keys - Keys of the rows.
 * @param writeId - Id of the write.
 * @param entries - Applied entries, the oldest first.
 * @param lost - The last version that the store has.
 * @returns A transaction, conditional on that version's row and on the absence
 *     of those that it writes.
 */
export function buildRestoringWrite(
  keys: StoreKeys,
  writeId: WriteId,
  entries: readonly CommittedEntry[],
  lost: LostEntries,
): Transaction {
  const checks: RowCheck[] = [
    {key: keys.log(lost.after), revision: lost.revision},
  ];
  const puts: RowPut[] = [];
  let characters = 0;
  let next = nextVersion(lost.after);
  for (const committed of entries) {
    const {entry} = committed;
    if (entry.version !== next) continue;
    const text = textOf(committed);
    characters += text.length;
    const isFull = checks.length > MAX_ENTRIES_PER_WRITE;
    if (isFull || (puts.length > 0 && characters > MAX_WRITE_CHARACTERS)) break;
    checks.push({key: keys.log(entry.version), revision: 0});
    puts.push({key: keys.log(entry.version), value: text});
    const audited = auditRowOf(keys, entry);
    if (audited !== null) puts.push(audited);
    next = nextVersion(next);
  }
  return {writeId, checks, puts};
}

/**
 * Returns whether rows beyond a version have an entry that ends a member.
 *
 * @param rows - Rows of the log.
 * @param after - The version.
 * @param member - The member.
 * @returns Whether one does.
 */
export function endsMember(
  rows: readonly Row[],
  after: Version,
  member: string,
): boolean {
  return rows.some(row => {
    const entry = parseLogRow(row)?.entry;
    if (entry === undefined || entry.version <= after) return false;
    return changesOf(entry.change).some(
      change =>
        (change.kind === 'ended' &&
          change.members.some(each => each === member)) ||
        (change.kind === 'joined' && change.replaces === member),
    );
  });
}
