/** @fileoverview Names of table rows and the text form of log entries. */

import type {MemberId, Version} from '../ids/types.js';
import type {LoggedEntry} from '../messages/types.js';
import type {Row} from '../store/types.js';
import type {CommittedEntry, Entry} from './types.js';

const VERSION_DIGITS = 12;
/** The character after `9`: ends every range of numbered keys. */
const AFTER_DIGITS = ':';

/** Names of the rows and objects of one workspace. */
export interface StoreKeys {
  readonly configuration: string;
  readonly snapshot: string;
  readonly logEnd: string;
  readonly auditEnd: string;
  snapshotObject(version: number): string;
  log(version: number): string;
  audit(version: number): string;
  member(member: MemberId): string;
}

/**
 * Names the rows of a workspace.
 *
 * @param workspace - Name of the workspace.
 * @returns The names.
 */
export function createStoreKeys(workspace: string): StoreKeys {
  return {
    configuration: `${workspace}/configuration`,
    snapshot: `${workspace}/snapshot`,
    logEnd: `${workspace}/log/${AFTER_DIGITS}`,
    auditEnd: `${workspace}/audit/${AFTER_DIGITS}`,
    snapshotObject: version => `${workspace}/snapshot/${digits(version)}`,
    log: version => `${workspace}/log/${digits(version)}`,
    audit: version => `${workspace}/audit/${digits(version)}`,
    member: member => `${workspace}/members/${member}`,
  };
}

/**
 * Writes an entry as text.
 *
 * @param entry - The entry.
 * @returns JSON text.
 */
export function serializeEntry(entry: Entry): string {
  return JSON.stringify(entry);
}

/**
 * Reads an entry from a table row.
 *
 * @param row - A row of the log.
 * @returns The entry with the row's revision.
 */
export function parseLogRow(row: Row): CommittedEntry {
  return {entry: JSON.parse(row.value) as Entry, revision: row.revision};
}

/**
 * Reads an entry that came over a link.
 *
 * @param logged - The entry as carried.
 * @returns The entry with its row's revision.
 */
export function parseLoggedEntry(logged: LoggedEntry): CommittedEntry {
  return {entry: JSON.parse(logged.text) as Entry, revision: logged.revision};
}

/**
 * Prepares an entry for a link.
 *
 * @param committed - The entry with its row's revision.
 * @returns The entry as carried.
 */
export function toLoggedEntry(committed: CommittedEntry): LoggedEntry {
  return {
    version: committed.entry.version,
    revision: committed.revision,
    text: serializeEntry(committed.entry),
  };
}

/**
 * Steps a version.
 *
 * @param version - A version.
 * @returns The next one.
 */
export function nextVersion(version: Version): Version {
  return (version + 1) as Version;
}

function digits(version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0');
}
