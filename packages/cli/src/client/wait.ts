/**
 * @fileoverview Waiting until a change is in force at every member. It is in
 * force at a member that has applied its log version and its configuration.
 */

import {setTimeout as sleep} from 'node:timers/promises';

import type {AcceptedChange, MemberStatus, Progress} from '@jackdawfall/core';

import type {Client} from './types.js';

/** Maximum number of members that are checked at the same time. */
const MAX_CONCURRENT_REQUESTS = 32;
/** Maximum timeout of one response. */
const RESPONSE_TIMEOUT_MS = 2000;
/** Minimum timeout of one response, even past the timeout of the whole wait. */
const MIN_RESPONSE_TIMEOUT_MS = 200;
/** Time between two checks of all members. */
const POLL_INTERVAL_MS = 200;

/** A member at which a change isn't known to be in force. */
export interface LaggingMember {
  readonly member: string;
  /** What the last check found, as text. */
  readonly seen: string;
}

/** The result of a wait. */
export interface WaitResult {
  /** Number of members in the workspace. */
  readonly members: number;
  /** Members that are not known to have applied the change. */
  readonly lagging: readonly LaggingMember[];
}

/**
 * Waits until every member has applied a change, by asking each one.
 *
 * @param client - The client.
 * @param accepted - The change.
 * @param timeoutMs - Maximum wait, in milliseconds.
 * @returns The members that have not applied the change yet, if any.
 */
export async function waitUntilInForce(
  client: Client,
  accepted: AcceptedChange,
  timeoutMs: number,
): Promise<WaitResult> {
  const deadline = performance.now() + timeoutMs;
  const confirmed = new Set<string>();
  for (;;) {
    const leftMs = deadline - performance.now();
    const responseTimeoutMs = Math.max(
      MIN_RESPONSE_TIMEOUT_MS,
      Math.min(RESPONSE_TIMEOUT_MS, Math.ceil(leftMs)),
    );
    const result = await checkMembers(
      client,
      accepted,
      confirmed,
      responseTimeoutMs,
    );
    const isOver = performance.now() + POLL_INTERVAL_MS > deadline;
    if (result.lagging.length === 0 || isOver) return result;
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Checks all members except those at which the change was in force before. */
async function checkMembers(
  client: Client,
  accepted: AcceptedChange,
  confirmed: Set<string>,
  responseTimeoutMs: number,
): Promise<WaitResult> {
  const reply = await client.status(responseTimeoutMs);
  if (reply.kind !== 'ok') {
    const laggard = {member: 'every member', seen: reply.detail};
    return {members: 0, lagging: [laggard]};
  }
  const {members} = reply.value;
  const unconfirmed = members.filter(({member}) => !confirmed.has(member));
  const lagging: LaggingMember[] = [];
  if (!isInForce(reply.value, accepted)) {
    const member = reply.value.member ?? 'the asked daemon';
    lagging.push({member, seen: formatVersions(reply.value)});
  }
  for (let at = 0; at < unconfirmed.length; at += MAX_CONCURRENT_REQUESTS) {
    const batch = unconfirmed.slice(at, at + MAX_CONCURRENT_REQUESTS);
    const seen = await Promise.all(
      batch.map(member =>
        checkMember(client, accepted, member, responseTimeoutMs),
      ),
    );
    batch.forEach(({member}, index) => {
      const text = seen[index];
      if (text === null) confirmed.add(member);
      else lagging.push({member, seen: text});
    });
  }
  return {members: members.length, lagging};
}

/** Returns null if the change is in force at a member, else what was found. */
async function checkMember(
  client: Client,
  accepted: AcceptedChange,
  {member, operators}: MemberStatus,
  responseTimeoutMs: number,
): Promise<string | null> {
  if (operators === null) return 'its operators port is not known';
  const reply = await client.progressOf(operators, responseTimeoutMs);
  if (reply.kind !== 'ok') return reply.detail;
  if (reply.value.member !== member) {
    return `${operators} is ${reply.value.member ?? 'no member'} now`;
  }
  return isInForce(reply.value, accepted) ? null : formatVersions(reply.value);
}

function isInForce(
  progress: Progress,
  {version, configuration}: AcceptedChange,
): boolean {
  return progress.version >= version && progress.configuration >= configuration;
}

function formatVersions({version, configuration}: Progress): string {
  return `log version ${version}, configuration ${configuration}`;
}
