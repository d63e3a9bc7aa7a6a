/**
 * @fileoverview When the configuration of this daemon was last known to be the
 * newest one. A daemon that is partitioned, or that was suspended, may miss that
 * a configuration revoked an API key; it accepts no key once it can't rule that
 * out any more.
 */

import type {Instant} from '../clock/types.js';
import type {Tuning} from '../settings/defaults.js';

/** Margin for clocks that run at different rates and for handling requests. */
const MARGIN_MS = 300;
/**
 * Time without an event, by either clock, after which messages may have waited
 * in socket buffers for long: several ticks.
 */
const STALL_MS = 500;
/** Time after a stall in which such messages may still be read. */
const DISTRUST_MS = 1000;

/** State of the freshness of the configuration. */
export interface ConfigurationFreshness {
  /** Instant as of which the configuration was the newest; null if unknown. */
  provenAt: Instant | null;
  /** Instant of the last event, or null before the first. */
  lastEventAt: Instant | null;
  /** Monotonic time until which confirmations of peers may be old. */
  distrustUntil: number;
}

/**
 * Creates the state of a daemon that knows nothing yet.
 *
 * @returns The state.
 */
export function createFreshness(): ConfigurationFreshness {
  return {provenAt: null, lastEventAt: null, distrustUntil: -Infinity};
}

/**
 * Notes that an event is handled, to detect that the process stood still.
 *
 * @param freshness - The state.
 * @param at - Instant of the event.
 */
export function recordEvent(
  freshness: ConfigurationFreshness,
  at: Instant,
): void {
  const {lastEventAt} = freshness;
  freshness.lastEventAt = at;
  if (lastEventAt === null || ageMs(lastEventAt, at) < STALL_MS) return;
  freshness.distrustUntil = at.monotonic + DISTRUST_MS;
}

/**
 * Records an answer of the source, unless a later one is known.
 *
 * @param freshness - The state.
 * @param at - Instant of the event.
 * @param answerAgeMs - Maximum age of the answer, in milliseconds.
 */
export function recordAnswer(
  freshness: ConfigurationFreshness,
  at: Instant,
  answerAgeMs: number,
): void {
  if (answerAgeMs >= freshnessAgeMs(freshness, at)) return;
  freshness.provenAt = {
    monotonic: at.monotonic - answerAgeMs,
    wall: at.wall - answerAgeMs,
  };
}

/**
 * Records the confirmation of a peer that has no newer configuration than this
 * daemon. After a stall it isn't used: it may have waited to be read.
 *
 * @param freshness - The state.
 * @param at - Instant of the event.
 * @param peerAgeMs - Age of the peer's knowledge as it sent the confirmation.
 * @param transitMs - Maximum time that a message takes on a live link.
 */
export function recordPeerConfirmation(
  freshness: ConfigurationFreshness,
  at: Instant,
  peerAgeMs: number,
  transitMs: number,
): void {
  if (at.monotonic < freshness.distrustUntil) return;
  recordAnswer(freshness, at, peerAgeMs + transitMs);
}

/**
 * Returns the age of what is known, by the clock that shows more.
 *
 * @param freshness - The state.
 * @param at - The current instant.
 * @returns Milliseconds; Infinity if nothing is known.
 */
export function freshnessAgeMs(
  freshness: ConfigurationFreshness,
  at: Instant,
): number {
  const {provenAt} = freshness;
  return provenAt === null ? Infinity : ageMs(provenAt, at);
}

/**
 * Returns whether API keys of the configuration in force are accepted: no key
 * of it was revoked longer ago than `revokeMs`.
 *
 * @param freshness - The state.
 * @param tuning - Tuning of tenants.
 * @param at - The current instant.
 * @returns Whether they are; always true if the deployment sets no such time.
 */
export function isFreshEnough(
  freshness: ConfigurationFreshness,
  tuning: Pick<Tuning['tenants'], 'revokeMs'>,
  at: Instant,
): boolean {
  const {revokeMs} = tuning;
  return revokeMs === 0 || freshnessAgeMs(freshness, at) < revokeMs - MARGIN_MS;
}

function ageMs(earlier: Instant, at: Instant): number {
  return Math.max(at.monotonic - earlier.monotonic, at.wall - earlier.wall);
}
