/**
 * @fileoverview Which members watch the external source of the configuration. A
 * few do, and tell all others as of when theirs was the newest one. Who knows no
 * recent such proof of enough of them reads the source itself.
 */

import type {MemberId} from '../ids/types.js';
import type {SourceTimes} from '../settings/source_times.js';

/** Number of members that watch the source. */
const MAX_WATCHERS = 2;
/** Time from its start after which a daemon that hasn't joined watches. */
const JOIN_TIMEOUT_MS = 2000;
/**
 * Additional time for each member that ranks before this one, so that a few take
 * over rather than all at once.
 */
const STAGGER_MS = 10;

/** What a daemon knows of its source and of those that watch it. */
export interface SourceWatch {
  /** Whether this daemon has a source, since it was polled. */
  hasSource: boolean;
  /** Monotonic time of the first tick, or null before it. */
  startedAt: number | null;
  /** Whether this daemon was to watch at its last tick; null before the first. */
  watching: boolean | null;
  /**
   * Monotonic time as of which each watcher's configuration was the newest one
   * of the source, by its latest proof.
   */
  readonly provenAt: Map<MemberId, number>;
  /**
   * Why the newest document of the source is invalid, so that an older one stays
   * in force or none is; null if it is valid.
   */
  fault: string | null;
}

/** A daemon among the members that may watch. */
export interface WatchMembership {
  readonly self: MemberId;
  /** All members by rank. */
  readonly ranks: readonly MemberId[];
  /** Monotonic time since which this daemon is one, or null if it isn't. */
  readonly joinedAt: number | null;
}

/**
 * Creates the state of a daemon that knows no watcher.
 *
 * @returns The state.
 */
export function createSourceWatch(): SourceWatch {
  return {
    hasSource: false,
    startedAt: null,
    watching: null,
    provenAt: new Map(),
    fault: null,
  };
}

/**
 * Returns when this daemon is to watch the source, unless it hears of further
 * proofs until then: once fewer than `MAX_WATCHERS` members that rank before it
 * have a recent one. Those that it hasn't heard of since it joined may have.
 *
 * @param watch - What this daemon knows.
 * @param membership - This daemon among the members.
 * @param times - Times of the watch.
 * @param now - Monotonic time, in milliseconds.
 * @returns Milliseconds from now; 0 if it is to watch already.
 */
export function watchDelayMs(
  watch: SourceWatch,
  membership: WatchMembership,
  times: SourceTimes,
  now: number,
): number {
  const {self, ranks, joinedAt} = membership;
  if (joinedAt === null) {
    return Math.max(0, (watch.startedAt ?? now) + JOIN_TIMEOUT_MS - now);
  }
  const ownRank = Math.max(0, ranks.indexOf(self));
  const staggerMs = Math.min(times.maxStaggerMs, ownRank * STAGGER_MS);
  let proving = 0;
  let delayMs = Infinity;
  for (const id of ranks.slice(0, ownRank)) {
    const provenAt = watch.provenAt.get(id) ?? joinedAt;
    const countsForMs = provenAt + times.proofMs + staggerMs - now;
    if (countsForMs <= 0) continue;
    proving += 1;
    delayMs = Math.min(delayMs, countsForMs);
    if (proving >= MAX_WATCHERS) return delayMs;
  }
  return 0;
}

/**
 * Records the proof of a watcher, and forgets those of former members. A late
 * message doesn't make a proof appear more recent than it is.
 *
 * @param watch - What this daemon knows.
 * @param from - The watcher.
 * @param provenAt - Monotonic time as of which it holds.
 * @param members - The members of the workspace.
 */
export function recordProof(
  watch: SourceWatch,
  from: MemberId,
  provenAt: number,
  members: ReadonlyMap<MemberId, unknown>,
): void {
  const known = watch.provenAt.get(from) ?? -Infinity;
  watch.provenAt.set(from, Math.max(known, provenAt));
  for (const id of watch.provenAt.keys()) {
    if (!members.has(id)) watch.provenAt.delete(id);
  }
}
