/**
 * @fileoverview Planning of moves that join ranges of adjacent slices. Moves for
 * load and lost members leave ever more of them, and each needs a grant.
 */

import type {Slice} from '../ids/types.js';
import type {SliceMove} from '../log/types.js';
import {NO_MEMBER} from '../map/state.js';
import type {Member, ServicePlacement} from '../map/types.js';

/** Ranges per member, in the mean, above which ranges are joined. */
const MAX_MEAN_RANGES = 24;
/** Load, in busy slots, up to which a slice counts as idle and may be moved. */
const MAX_IDLE_RATE = 0.05;

/** Adjacent slices with the same owner. */
interface OwnedRange {
  readonly first: number;
  readonly count: number;
  readonly owner: number;
}

/** A range that joins its neighbours when it moves. */
interface Merge {
  /** Position in the list of ranges. */
  readonly at: number;
  readonly range: OwnedRange;
  readonly to: Member;
  /** Number of ranges that disappear. */
  readonly saves: number;
}

/**
 * Plans moves of small idle ranges to the owner of an adjacent range, if the
 * members own too many ranges in the mean.
 *
 * @param service - Placement of the service, none of whose slices moves.
 * @param candidates - Members that accept its work.
 * @param rates - Known loads of slices, in busy slots.
 * @param maxSlices - Maximum number of slices to move.
 * @returns The moves; each moves one range.
 */
export function planMerges(
  service: ServicePlacement,
  candidates: readonly Member[],
  rates: ReadonlyMap<Slice, number>,
  maxSlices: number,
): SliceMove[] {
  const ranges = rangesOf(service);
  let excess = ranges.length - candidates.length * MAX_MEAN_RANGES;
  if (excess <= 0) return [];
  const merges = ranges
    .map((range, at) => mergeOf(ranges, at, range, candidates))
    .filter(each => each !== null)
    .filter(({range}) => isIdle(range, rates))
    .sort((a, b) => a.range.count / a.saves - b.range.count / b.saves);
  const used = new Set<number>();
  const moves: SliceMove[] = [];
  let left = maxSlices;
  for (const {at, range, to, saves} of merges) {
    if (excess <= 0 || range.count > left) break;
    if ([at - 1, at, at + 1].some(each => used.has(each))) continue;
    for (const each of [at - 1, at, at + 1]) used.add(each);
    moves.push({first: range.first as Slice, count: range.count, to: to.id});
    excess -= saves;
    left -= range.count;
  }
  return moves;
}

function rangesOf({owner, slices}: ServicePlacement): OwnedRange[] {
  const ranges: OwnedRange[] = [];
  let first = 0;
  for (let slice = 1; slice <= slices; slice++) {
    if (slice < slices && owner[slice] === owner[first]) continue;
    ranges.push({first, count: slice - first, owner: owner[first]});
    first = slice;
  }
  return ranges;
}

/** Returns the merge of a range into a neighbour that has at least its size. */
function mergeOf(
  ranges: readonly OwnedRange[],
  at: number,
  range: OwnedRange,
  candidates: readonly Member[],
): Merge | null {
  if (range.owner === NO_MEMBER) return null;
  const neighbors = [ranges[at - 1], ranges[at + 1]].filter(
    each => each !== undefined && each.count >= range.count,
  );
  if (neighbors.length === 0) return null;
  const [one, other] = neighbors;
  const saves = other !== undefined && one.owner === other.owner ? 2 : 1;
  const to = candidates.find(each => each.index === one.owner);
  return to === undefined ? null : {at, range, to, saves};
}

function isIdle(
  {first, count}: OwnedRange,
  rates: ReadonlyMap<Slice, number>,
): boolean {
  for (let slice = first; slice < first + count; slice++) {
    if ((rates.get(slice as Slice) ?? 0) > MAX_IDLE_RATE) return false;
  }
  return true;
}
