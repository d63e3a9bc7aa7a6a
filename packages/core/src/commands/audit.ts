/** @fileoverview Reading the audit trail, the newest entries first. */

import type {Change} from '../log/types.js';
import {callStore, reply} from '../ownership/effects.js';
import type {AuditSearch, OwnershipContext} from '../ownership/state.js';
import type {Row, StoreReply} from '../store/types.js';
import {describeChange} from './view.js';
import type {AuditEntry, AuditPage} from './types.js';

/** Log versions searched by one read; it returns as many rows at most. */
const WINDOW = 1000;
/** Most reads for one answer. */
const MAX_READS = 20;
/** Most entries in one answer. */
const MAX_ENTRIES = 1000;

/** An entry as kept in the table. */
interface AuditRow {
  readonly by: string;
  readonly at: number;
  readonly from: number;
  readonly to: number;
  readonly what: Change;
}

/**
 * Begins to read the audit trail.
 *
 * @param context - The step.
 * @param limit - Most entries wanted.
 * @param token - Names the answer.
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
 * Takes a part of the audit trail; answers once enough is found.
 *
 * @param context - The step.
 * @param token - Names the answer.
 * @param search - The search, with the bounds of the read that is answered.
 * @param answer - The platform's reply.
 */
export function handleAuditReply(
  context: OwnershipContext,
  token: number,
  search: AuditSearch,
  answer: StoreReply,
): void {
  if (answer.kind !== 'rows') {
    const detail = 'the platform could not be read';
    reply(context, token, {kind: 'unavailable', detail});
    return;
  }
  const newest = answer.rows.map(entryOf).reverse();
  const found = [...search.found, ...newest.slice(0, search.wanted)];
  const wanted = search.wanted - newest.length;
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
  const from = Math.max(1, searchedFrom - WINDOW);
  callStore(
    context,
    {kind: 'audit', token, search: {...search, from, reads: reads + 1}},
    {
      kind: 'read',
      query: {
        kind: 'range',
        from: keys.audit(from),
        to: keys.audit(searchedFrom),
        limit: WINDOW,
      },
    },
  );
}

function entryOf(row: Row): AuditEntry {
  const {by, at, from, to, what} = JSON.parse(row.value) as AuditRow;
  return {from, to, at, by, what: describeChange(what)};
}
