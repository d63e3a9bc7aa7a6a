/** @fileoverview Tests of the size of entries that remove members. */

import test from 'ava';

import {DEFAULT_TUNING} from '../settings/defaults.js';
import type {OwnershipContext} from '../ownership/state.js';
import {MAX_TRANSACTION_ENTRIES} from '../store/types.js';
import {proposeEvictions} from './evictions.js';

/** Log row, audit row, and the conditions on this log row and the one before. */
const ENTRIES_OF_LOG = 4;
const NOW = 1e6;

/** A context in which these many members may be evicted. */
function contextWith(members: number): OwnershipContext {
  const row = {revision: 1, grantors: [], revisionSeenAt: 0};
  const eviction = {row, confirmedBy: null, revokedBy: new Set()};
  const names = Array.from({length: members}, (_, index) => `h${index}#1`);
  const state = {
    self: 'a#1',
    evictions: new Map(names.map(name => [name, eviction])),
    settings: {tuning: DEFAULT_TUNING},
    map: {members: new Map(), ended: new Map()},
  };
  const at = {monotonic: NOW, wall: NOW};
  return {state, at} as unknown as OwnershipContext;
}

// The store refused the transaction that removed 49 members or more, so that
// their slices stayed unserved.
for (const [members, removed] of [
  [1, 1],
  [48, 48],
  [49, 48],
  [500, 48],
]) {
  test(`of ${members} members, one entry removes ${removed}`, t => {
    const removals = proposeEvictions(contextWith(members))?.removals ?? [];
    t.is(removals.length, removed);
    const entries = 2 * removals.length + ENTRIES_OF_LOG;
    t.true(entries <= MAX_TRANSACTION_ENTRIES);
  });
}
