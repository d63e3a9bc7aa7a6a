/** @fileoverview Building and parsing identifiers. */

import type {AttemptId, HostName, MemberId, Version} from './types.js';

/** The version of a log without entries. */
export const NO_VERSION = 0 as Version;

/**
 * Builds the id of one incarnation of a daemon.
 *
 * @param host - The host the daemon runs on.
 * @param incarnation - Unique for each start on that host.
 * @returns The member's id.
 */
export function makeMemberId(host: HostName, incarnation: string): MemberId {
  return `${host}#${incarnation}` as MemberId;
}

/**
 * Returns the host of a member.
 *
 * @param member - The member's id.
 * @returns The host part of the id.
 */
export function hostOf(member: MemberId): HostName {
  const at = member.lastIndexOf('#');
  return member.slice(0, at) as HostName;
}

/**
 * Compares ids by UTF-16 code unit, so that every host sorts them the same way.
 *
 * @param a - One id.
 * @param b - Another id.
 * @returns Negative, zero or positive.
 */
export function compareIds(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/**
 * Builds the id of an attempt. Each member numbers its attempts from 1 up.
 *
 * @param origin - The member that sends the attempt.
 * @param sequence - The attempt's number.
 * @returns The attempt's id.
 */
export function makeAttemptId(origin: MemberId, sequence: number): AttemptId {
  return `${origin}/${sequence}` as AttemptId;
}

/**
 * Returns the origin of an attempt, the member that sent it.
 *
 * @param attempt - The attempt's id.
 * @returns The origin's id.
 */
export function originOf(attempt: AttemptId): MemberId {
  return attempt.slice(0, attempt.lastIndexOf('/')) as MemberId;
}

/**
 * Returns the number that its origin gave an attempt.
 *
 * @param attempt - The attempt's id.
 * @returns The sequence number; NaN for an id of another form.
 */
export function sequenceOf(attempt: AttemptId): number {
  return Number(attempt.slice(attempt.lastIndexOf('/') + 1));
}
