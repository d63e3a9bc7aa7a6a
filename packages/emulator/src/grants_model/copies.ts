/** @fileoverview Copies and keys of the states of a search. */

import {createHash} from 'node:crypto';

/**
 * Names of properties that don't decide about slice grants: constants, and the
 * state of log replication, of other members' leases and of coordination.
 */
const IGNORED = new Set([
  'balance',
  'bounds',
  'configuration',
  'ended',
  'evictions',
  'failure',
  'formation',
  'keys',
  'lastChecked',
  'lastHeardAt',
  'lease',
  'log',
  'logReader',
  'logWriter',
  'membersWhenWatched',
  'nextCall',
  'nextWrite',
  'pendingCalls',
  'recentEntries',
  'revision',
  'ringCache',
  'settings',
  'snapshots',
  'success',
  'version',
  'watchedMembers',
]);

/** Names of properties whose values are replaced and never change in place. */
const SHARED = new Set([
  'announcement',
  'bounds',
  'configuration',
  'failure',
  'grant',
  'keys',
  'log',
  'offer',
  'recentEntries',
  'ringCache',
  'settings',
  'success',
]);

/**
 * Copies a state, with references between its parts.
 *
 * @param value - The state.
 * @returns The copy.
 */
export function copyOf<T>(value: T): T {
  return copyValue(value, new Map()) as T;
}

function copyValue(value: unknown, known: Map<object, unknown>): unknown {
  if (typeof value !== 'object' || value === null) return value;
  const copied = known.get(value);
  if (copied !== undefined) return copied;
  if (ArrayBuffer.isView(value)) return (value as Uint32Array).slice();
  if (value instanceof Map) {
    const copy = new Map<unknown, unknown>();
    known.set(value, copy);
    for (const [key, each] of value) copy.set(key, copyValue(each, known));
    return copy;
  }
  if (value instanceof Set) {
    const copy = new Set<unknown>();
    known.set(value, copy);
    for (const each of value) copy.add(copyValue(each, known));
    return copy;
  }
  if (Array.isArray(value)) {
    const copy: unknown[] = [];
    known.set(value, copy);
    for (const each of value) copy.push(copyValue(each, known));
    return copy;
  }
  const copy: Record<string, unknown> = {};
  known.set(value, copy);
  for (const [name, each] of Object.entries(value)) {
    const isShared = typeof each !== 'object' || SHARED.has(name);
    copy[name] = isShared ? each : copyValue(each, known);
  }
  return copy;
}

/**
 * Computes the key of a state: states with the same key have the same future.
 *
 * @param value - The state.
 * @returns A digest.
 */
export function keyOf(value: unknown): string {
  const text = JSON.stringify(value, (name, each: unknown) => {
    if (IGNORED.has(name)) return undefined;
    if (each === Infinity) return 'never';
    if (each instanceof Map || each instanceof Set) {
      return Array.from(each as Iterable<unknown>);
    }
    return ArrayBuffer.isView(each) ? Array.from(each as Uint32Array) : each;
  });
  return createHash('sha1').update(text).digest('base64');
}
