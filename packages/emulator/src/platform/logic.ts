/** @fileoverview Table operations, faults and counts of the platform. */

import type {PlatformState} from './state.js';
import type {CommitOutcome, PlatformOrder, SecondCount} from './types.js';
import type {TableQuery, Row, Transaction} from '@jackdawfall/core';

import {noFaults} from './state.js';

const MAX_SECONDS = 600;
const MS_PER_SECOND = 1000;

/**
 * Writes all rows of a transaction, or none.
 *
 * @param state - The platform.
 * @param transaction - Conditions and writes.
 * @returns The new revision, or the rows that stand against it.
 */
export function commit(
  state: PlatformState,
  transaction: Transaction,
): CommitOutcome {
  const holds = transaction.checks.every(
    check => (state.rows.get(check.key)?.revision ?? 0) === check.revision,
  );
  if (!holds) {
    state.ledger.conflicts++;
    return {kind: 'conflict', rows: checkedRows(state, transaction)};
  }
  state.revision++;
  state.ledger.commits++;
  for (const {key, value} of transaction.puts) {
    if (value === null) state.rows.delete(key);
    else state.rows.set(key, {key, value, revision: state.revision});
  }
  return {kind: 'committed', revision: state.revision};
}

/**
 * Reads one row or a range in key order.
 *
 * @param state - The platform.
 * @param query - What to read.
 * @returns The rows that exist.
 */
export function read(state: PlatformState, query: TableQuery): Row[] {
  switch (query.kind) {
    case 'row': {
      const row = state.rows.get(query.key);
      return row === undefined ? [] : [row];
    }
    case 'range': {
      const keys = [...state.rows.keys()].filter(
        key => key >= query.from && key < query.to,
      );
      keys.sort((a, b) => (a < b ? -1 : 1));
      return keys.slice(0, query.limit).flatMap(key => {
        const row = state.rows.get(key);
        return row === undefined ? [] : [row];
      });
    }
  }
}

/**
 * Switches a fault.
 *
 * @param state - The platform.
 * @param order - The order.
 */
export function obey(state: PlatformState, order: PlatformOrder): void {
  const {faults} = state;
  switch (order.kind) {
    case 'latency':
      faults.latencyMs = order.ms;
      return;
    case 'rate':
      faults.writesPerSecond = order.writesPerSecond;
      faults.readsPerSecond = order.readsPerSecond;
      return;
    case 'outage':
      faults.outage = order.mode;
      return;
    case 'loseReplies':
      faults.lostReplies = order.probability;
      return;
    case 'delayWrites':
      faults.delayedWrites = order.probability;
      faults.delayMs = order.ms;
      return;
    case 'heal':
      state.faults = noFaults();
      return;
  }
}

/**
 * Counts a call and says whether the rate limit lets it pass.
 *
 * @param state - The platform.
 * @param kind - Whether it reads or writes.
 * @param nowMs - Wall clock in milliseconds.
 * @returns True when the call may go on.
 */
export function admit(
  state: PlatformState,
  kind: 'read' | 'write',
  nowMs: number,
): boolean {
  const count = countOf(state.ledger.seconds, nowMs);
  const {writesPerSecond, readsPerSecond} = state.faults;
  const full =
    kind === 'read'
      ? count.reads >= readsPerSecond
      : count.writes >= writesPerSecond;
  if (full) return false;
  if (kind === 'read') count.reads++;
  else count.writes++;
  return true;
}

function countOf(seconds: SecondCount[], nowMs: number): SecondCount {
  const second = Math.floor(nowMs / MS_PER_SECOND);
  const last = seconds.at(-1);
  if (last?.second === second) return last;
  const count = {second, reads: 0, writes: 0};
  seconds.push(count);
  if (seconds.length > MAX_SECONDS) seconds.shift();
  return count;
}

function checkedRows(state: PlatformState, transaction: Transaction): Row[] {
  return transaction.checks.flatMap(({key}) => {
    const row = state.rows.get(key);
    return row === undefined ? [] : [row];
  });
}
