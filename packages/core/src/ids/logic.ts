/** @fileoverview Making and taking apart identifiers. */

import type {HostName, MemberId, Version} from './types.js';

/** The version of a log without entries. */
export const NO_VERSION = 0 as Version;

/**
 * Names one incarnation of a daemon.
 *
 * @param host - The host the daemon runs on.
 * @param incarnation - Unique for each start on that host.
 * @returns The member's id.
 */
export function memberOf(host: HostName, incarnation: string): MemberId {
  return `${host}#${incarnation}` as MemberId;
}

/**
 * Finds the host of a member.
 *
 * @param member - The member's id.
 * @returns The host part of the id.
 */
export function hostOf(member: MemberId): HostName {
  const at = member.lastIndexOf('#');
  return member.slice(0, at) as HostName;
}

/**
 * Orders ids by code unit, the same on every host.
 *
 * @param a - One id.
 * @param b - Another id.
 * @returns Negative, zero or positive.
 */
export function compareIds(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
