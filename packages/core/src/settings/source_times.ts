/**
 * @fileoverview Times of the watch of the external configuration source. They
 * are shares of the time within which a change has to be in force, so that
 * their sum can't exceed it.
 */

import type {Tuning} from './defaults.js';

/** Share of that time after which a watcher's proof is given up. */
const PROOF_SHARE = 0.6;
/** Share in which those that take over begin to, one after the other. */
const STAGGER_SHARE = 0.15;
/** Share for the read of the one that takes over. */
const READ_SHARE = 0.1;
/** Share for telling all others what it has read. */
const SPREAD_SHARE = 0.15;
/** Share for which the source holds a poll open if there is no change. */
const POLL_SHARE = 0.35;
/** Share after which a poll that wasn't answered in time is given up. */
const ANSWER_SHARE = 0.3;

/** Times of the watch, in milliseconds. */
export interface SourceTimes {
  /**
   * Age from which a watcher's proof that its configuration was the newest no
   * longer counts. The source may change right after the proof, as the watchers
   * lose it.
   */
  readonly proofMs: number;
  /** Maximum additional time for members of a low rank. */
  readonly maxStaggerMs: number;
  /** Time for the first read of a member that takes over. */
  readonly readMs: number;
  /** Time in which a change that one member has read reaches all others. */
  readonly spreadMs: number;
  /** Time for which the source holds a poll open; well below `proofMs`. */
  readonly pollMs: number;
  /** Additional time to wait for the answer to a poll. */
  readonly answerMs: number;
}

/**
 * Derives the times of the watch.
 *
 * @param source - Tuning of the source.
 * @returns The times; the first four add up to `applyMs`.
 */
export function sourceTimesOf(source: Tuning['source']): SourceTimes {
  const {applyMs} = source;
  return {
    proofMs: applyMs * PROOF_SHARE,
    maxStaggerMs: applyMs * STAGGER_SHARE,
    readMs: applyMs * READ_SHARE,
    spreadMs: applyMs * SPREAD_SHARE,
    pollMs: applyMs * POLL_SHARE,
    answerMs: applyMs * ANSWER_SHARE,
  };
}

/**
 * Returns for how long the source is asked to hold the next poll, so that a
 * proof is renewed once it is `pollMs` old.
 *
 * @param times - Times of the watch.
 * @param proofAgeMs - Age of the latest proof; Infinity without one.
 * @returns Whole milliseconds; 0 to be answered at once.
 */
export function pollHoldMs(times: SourceTimes, proofAgeMs: number): number {
  return Math.round(Math.max(0, times.pollMs - Math.max(0, proofAgeMs)));
}
