/**
 * @fileoverview First grantors of members that join. With them in the entry that
 * adds the member, it need not write its row before it renews its lease.
 */

import type {MemberId} from '../ids/types.js';
import {changesOf} from '../log/logic.js';
import type {Change} from '../log/types.js';
import {ringHashOf} from '../map/state.js';
import type {ClusterMap} from '../map/types.js';
import {buildRing, chooseGrantors} from './ring.js';

type Joined = Extract<Change, {kind: 'joined'}>;

/**
 * Names the first grantors of each member that a change adds: those that the
 * ring names once the change is applied.
 *
 * @param map - Map of the workspace before the change.
 * @param change - The change.
 * @returns The change with grantors.
 */
export function nameFirstGrantors(map: ClusterMap, change: Change): Change {
  const joined = changesOf(change).filter(each => each.kind === 'joined');
  if (joined.length === 0) return change;
  const membership = {members: membersAfter(map, joined)};
  const ring = buildRing(membership);
  const none: ReadonlySet<MemberId> = new Set();
  const withGrantors = <T extends Change>(each: T): T => {
    if (each.kind !== 'joined') return each;
    const grantors = chooseGrantors(membership, ring, each.member, none);
    return {...each, grantors};
  };
  if (change.kind !== 'combined') return withGrantors(change);
  return {kind: 'combined', changes: change.changes.map(withGrantors)};
}

function membersAfter(map: ClusterMap, joined: readonly Joined[]) {
  const members = new Map<
    MemberId,
    Pick<Joined, 'zone'> & {id: MemberId; ringHash: number}
  >(map.members);
  for (const {member: id, zone, replaces} of joined) {
    if (replaces !== null) members.delete(replaces);
    members.set(id, {id, zone, ringHash: ringHashOf(id)});
  }
  return members;
}
