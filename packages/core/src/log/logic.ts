/** @fileoverview Keys of rows and objects in the store; log entries as JSON. */

import type {MemberId, Version, WriteId} from '../ids/types.js';
import type {LoggedEntry} from '../messages/types.js';
import type {Row, RowPut} from '../store/types.js';
import {NO_ERA} from '../restore/era.js';
import {parseDocument} from '../validation/logic.js';
import {entrySchema} from './schemas.js';
import type {Change, CommittedEntry, Entry} from './types.js';

/** Versions are zero-padded to this length, so that keys sort by version. */
const VERSION_DIGITS = 12;
const VERSION_AT_END = new RegExp(`/(\\d{${VERSION_DIGITS}})$`);
/** The character after `9`; sorts after every key that ends in a version. */
const AFTER_DIGITS = ':';
/**
 * Characters of slice ranges, moves or released slices after which an entry
 * takes no more. A row of the users' platform holds 49,152; the rest is left for
 * the other fields and for counts that grow while ranges are merged.
 */
export const MAX_LIST_CHARACTERS = 47_000;

/** Keys of the rows and names of the objects of one workspace. */
export interface StoreKeys {
  readonly configuration: string;
  readonly snapshot: string;
  /** Exclusive end of the range of all log rows. */
  readonly logEnd: string;
  /** Exclusive end of the range of all audit rows. */
  readonly auditEnd: string;
  /** The era is part of the name, since versions are written anew in another. */
  snapshotObject(version: number, era: number): string;
  log(version: number): string;
  audit(version: number): string;
  member(member: MemberId): string;
}

/**
 * Creates the keys of a workspace's rows and objects.
 *
 * @param workspace - Name of the workspace.
 * @returns The keys.
 */
export function createStoreKeys(workspace: string): StoreKeys {
  return {
    configuration: `${workspace}/configuration`,
    snapshot: `${workspace}/snapshot`,
    logEnd: `${workspace}/log/${AFTER_DIGITS}`,
    auditEnd: `${workspace}/audit/${AFTER_DIGITS}`,
    snapshotObject: (version, era) => {
      const name = `${workspace}/snapshot/${padVersion(version)}`;
      return era === NO_ERA ? name : `${name}-${era}`;
    },
    log: version => `${workspace}/log/${padVersion(version)}`,
    audit: version => `${workspace}/audit/${padVersion(version)}`,
    member: member => `${workspace}/members/${member}`,
  };
}

/**
 * Serializes a log entry.
 *
 * @param entry - The entry.
 * @returns JSON text.
 */
export function serializeEntry(entry: Entry): string {
  return JSON.stringify(entry);
}

/**
 * Parses the entry of a log row. All daemons read the same entry, also from a
 * row that another writer left.
 *
 * @param row - A row in the range of the log.
 * @returns The entry with the row's revision, or null if its key has no version.
 */
export function parseLogRow(row: Row): CommittedEntry | null {
  const digits = VERSION_AT_END.exec(row.key)?.[1];
  if (digits === undefined) return null;
  const version = Number(digits) as Version;
  const entry = parseEntry(row.value, version);
  return withText({entry, revision: row.revision}, row.value);
}

/**
 * Parses an entry received from another daemon.
 *
 * @param logged - The entry as it was sent.
 * @returns The entry with its row's revision.
 */
export function parseLoggedEntry(logged: LoggedEntry): CommittedEntry {
  const {text, version, revision} = logged;
  return withText({entry: parseEntry(text, version), revision}, text);
}

/** Keeps the text if the entry alone doesn't give it byte for byte. */
function withText(committed: CommittedEntry, text: string): CommittedEntry {
  if (serializeEntry(committed.entry) === text) return committed;
  return {...committed, text};
}

/**
 * Returns the value of the log row of an entry.
 *
 * @param committed - The entry.
 * @returns The text, byte for byte as it was committed.
 */
export function textOf(committed: CommittedEntry): string {
  return committed.text ?? serializeEntry(committed.entry);
}

/** An entry that can't be read changes nothing. */
function parseEntry(text: string, version: Version): Entry {
  const parsed = parseDocument(text, entrySchema);
  if (parsed.kind === 'ok' && parsed.value.version === Number(version)) {
    return parsed.value as unknown as Entry;
  }
  const change = {kind: 'unreadable'} as const;
  return {version, writeId: '' as WriteId, by: '', at: 0, change};
}

/**
 * Converts an entry to the form sent to other daemons.
 *
 * @param committed - The entry with its row's revision.
 * @returns The entry as it is sent.
 */
export function toLoggedEntry(committed: CommittedEntry): LoggedEntry {
  return {
    version: committed.entry.version,
    revision: committed.revision,
    text: textOf(committed),
  };
}

/**
 * Lists the single changes of a change.
 *
 * @param change - The change of an entry.
 * @returns The changes that it combines, or itself.
 */
export function changesOf(change: Change): readonly Change[] {
  return change.kind === 'combined' ? change.changes : [change];
}

/**
 * Returns the version that follows another.
 *
 * @param version - A log version.
 * @returns The next version.
 */
export function nextVersion(version: Version): Version {
  return (version + 1) as Version;
}

function padVersion(version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0');
}

/**
 * Returns the row that keeps an entry in the audit trail.
 *
 * @param keys - Keys of the rows.
 * @param entry - The entry.
 * @returns The row, or null if the entry isn't audited.
 */
export function auditRowOf(keys: StoreKeys, entry: Entry): RowPut | null {
  if (!changesOf(entry.change).some(isAudited)) return null;
  return {key: keys.audit(entry.version), value: serializeAuditEntry(entry)};
}

/**
 * Returns whether the entry of a change is written to the audit trail for operators. Server
 * offers and placement are left out: the log has them, and they are not
 * operators' changes.
 */
function isAudited(change: Change): boolean {
  switch (change.kind) {
    case 'configured':
    case 'zone':
    case 'draining':
    case 'ended':
    case 'joined':
    case 'combined':
      return true;
    case 'offered':
    case 'withdrawn':
    case 'placed':
    case 'moving':
    case 'released':
    case 'unreadable':
      return false;
  }
}

function serializeAuditEntry(entry: Entry): string {
  const {version, by, at, change} = entry;
  const what = {...change, document: undefined};
  return JSON.stringify({by, at, from: version - 1, to: version, what});
}
