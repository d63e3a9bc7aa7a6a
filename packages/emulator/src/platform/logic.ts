/** @fileoverview Table operations, faults and counters of the platform. */

import type {PlatformState} from './state.js';
import type {CommitOutcome, PlatformCommand, SecondCount} from './types.js';
import type {TableQuery, Row, Transaction} from '@jackdawfall/core';

import {noFaults} from './state.js';

/** Number of seconds for which counts are kept. */
const MAX_COUNTED_SECONDS = 600;
const MS_PER_SECOND = 1000;
const LOG_KEY = /\/log\/(\d+)$/;
const MEMBER_KEY = /\/members\//;
const SNAPSHOT_KEY = /\/snapshot$/;
/** Nesting of a foreign row. */
const DEEP = 10_000;

/**
 * Commits a transaction if all its conditions hold.
 *
 * @param state - The platform.
 * @param transaction - Conditions and writes.
 * @returns The new revision, or on a conflict the rows of the conditions.
 */
export function commit(
  state: PlatformState,
  transaction: Transaction,
): CommitOutcome {
  const allHold = transaction.checks.every(
    check => (state.rows.get(check.key)?.revision ?? 0) === check.revision,
  );
  if (!allHold) {
    state.ledger.conflicts++;
    return {kind: 'conflict', rows: readCheckedRows(state, transaction)};
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
 * Reads one row, or a range in key order.
 *
 * @param state - The platform.
 * @param query - The row or the range.
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
 * Executes a command that switches a fault on or off.
 *
 * @param state - The platform.
 * @param command - The command.
 */
export function executeCommand(
  state: PlatformState,
  command: PlatformCommand,
): void {
  const {faults} = state;
  switch (command.kind) {
    case 'latency':
      faults.latencyMs = command.ms;
      return;
    case 'rate':
      faults.writesPerSecond = command.writesPerSecond;
      faults.readsPerSecond = command.readsPerSecond;
      return;
    case 'outage':
      faults.outage = command.mode;
      return;
    case 'loseReplies':
      faults.lostReplies = command.probability;
      return;
    case 'delayWrites':
      faults.delayedWrites = command.probability;
      faults.delayMs = command.ms;
      return;
    case 'foreignRows':
      for (const row of foreignRows([...state.rows.keys()])) {
        state.revision++;
        state.rows.set(row.key, {...row, revision: state.revision});
      }
      return;
    case 'heal':
      state.faults = noFaults();
      return;
  }
}

/** Rows that no daemon writes, next to and in place of those in the store. */
function foreignRows(keys: readonly string[]): Array<Omit<Row, 'revision'>> {
  const rows: Array<Omit<Row, 'revision'>> = [];
  const last = keys
    .filter(key => LOG_KEY.test(key))
    .sort()
    .at(-1);
  if (last !== undefined) {
    const digits = LOG_KEY.exec(last)?.[1] ?? '';
    const next = String(Number(digits) + 1).padStart(digits.length, '0');
    const key = last.slice(0, -digits.length) + next;
    rows.push({key, value: '['.repeat(DEEP) + ']'.repeat(DEEP)});
  }
  const member = keys.find(key => MEMBER_KEY.test(key));
  if (member !== undefined) {
    rows.push({key: member, value: '{"grantors":1e999}'});
  }
  const pointer = keys.find(key => SNAPSHOT_KEY.test(key));
  if (pointer !== undefined) rows.push({key: pointer, value: '{"version":'});
  return rows;
}

/**
 * Applies the rate limit to a call, and counts the call if it is admitted.
 *
 * @param state - The platform.
 * @param kind - Whether the call reads or writes.
 * @param nowMs - Wall clock in milliseconds.
 * @returns Whether the call is admitted.
 */
export function admitCall(
  state: PlatformState,
  kind: 'read' | 'write',
  nowMs: number,
): boolean {
  const count = currentSecond(state.ledger.seconds, nowMs);
  const {writesPerSecond, readsPerSecond} = state.faults;
  const isFull =
    kind === 'read'
      ? count.reads >= readsPerSecond
      : count.writes >= writesPerSecond;
  if (isFull) return false;
  if (kind === 'read') count.reads++;
  else count.writes++;
  return true;
}

function currentSecond(seconds: SecondCount[], nowMs: number): SecondCount {
  const second = Math.floor(nowMs / MS_PER_SECOND);
  const last = seconds.at(-1);
  if (last?.second === second) return last;
  const count = {second, reads: 0, writes: 0};
  seconds.push(count);
  if (seconds.length > MAX_COUNTED_SECONDS) seconds.shift();
  return count;
}

function readCheckedRows(
  state: PlatformState,
  transaction: Transaction,
): Row[] {
  return transaction.checks.flatMap(({key}) => {
    const row = state.rows.get(key);
    return row === undefined ? [] : [row];
  });
}
