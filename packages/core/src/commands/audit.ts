/** @fileoverview Reading the audit trail, newest entries first. */

import {auditRowSchema} from '../log/schemas.js';
import type {Change} from '../log/types.js';
import {callStore, reply} from '../ownership/effects.js';
import type {AuditSearch, OwnershipContext} from '../ownership/state.js';
import type {Row, StoreReply} from '../store/types.js';
import {parseDocument} from '../validation/logic.js';
import {describeChange} from './view.js';
import type {AuditEntry, AuditPage} from './types.js';

/** Log versions that one read covers; also the maximum number of its rows. */
const READ_WINDOW = 1000;
/** Maximum number of reads for one command. */
const MAX_READS = 20;
/** Maximum number of entries in one result. */
const MAX_ENTRIES = 1000;

/** Value of an audit row in the store. */
interface AuditRow {
  readonly by: string;
  readonly at: number;
  readonly from: number;
  readonly to: number;
  readonly what: Change;
}

/**
 * Starts to read the audit trail for an operator's command.
 *
 * @param context - Context of the current input.
 * @param limit - Maximum number of entries.
 * @param token - Token of the command.
 */
export function beginAudit(
  context: OwnershipContext,
  limit: number,
  token: number,
): void {
  const wanted = Math.min(limit, MAX_ENTRIES);
  const from = context.state.map.version + 1;
  continueAudit(context, token, {wanted, from, found: [], reads: 0});
}

/**
 * Adds the entries of one read to the search, and replies to the command once
 * enough are found or the search is over.
 *
 * @param context - Context of the current input.
 * @param token - Token of the command.
 * @param search - The search, including the read that this is the reply to.
 * @param storeReply - The store's reply.
 */
export function handleAuditReply(
  context: OwnershipContext,
  token: number,
  search: AuditSearch,
  storeReply: StoreReply,
): void {
  if (storeReply.kind !== 'rows') {
    const detail = 'the platform could not be read';
    reply(context, token, {kind: 'unavailable', detail});
    return;
  }
  const newestFirst = storeReply.rows.map(parseAuditRow).reverse();
  const found = [...search.found, ...newestFirst.slice(0, search.wanted)];
  const wanted = search.wanted - newestFirst.length;
  continueAudit(context, token, {...search, wanted, found});
}

function continueAudit(
  context: OwnershipContext,
  token: number,
  search: AuditSearch,
): void {
  const {keys} = context.state;
  const {wanted, from: searchedFrom, found, reads} = search;
  if (wanted <= 0 || searchedFrom <= 1 || reads >= MAX_READS) {
    const page: AuditPage = {entries: found, searchedFrom};
    reply(context, token, {kind: 'ok', body: JSON.stringify(page)});
    return;
  }
  const from = Math.max(1, searchedFrom - READ_WINDOW);
  callStore(
    context,
    {kind: 'audit', token, search: {...search, from, reads: reads + 1}},
    {
      kind: 'read',
      query: {
        kind: 'range',
        from: keys.audit(from),
        to: keys.audit(searchedFrom),
        limit: READ_WINDOW,
      },
    },
  );
}

/** An entry that can't be read, since it has another writer, says so. */
function parseAuditRow(row: Row): AuditEntry {
  const parsed = parseDocument(row.value, auditRowSchema);
  if (parsed.kind === 'invalid') {
    return {from: 0, to: 0, at: 0, by: row.key, what: 'unreadable'};
  }
  const {by, at, from, to, what} = parsed.value;
  const change = what as unknown as AuditRow['what'];
  return {from, to, at, by, what: describeChange(change)};
}
