/** @fileoverview Waiting until a change is in force at every member. */

import {setTimeout as sleep} from 'node:timers/promises';

import type {AcceptedChange, MemberStatus, Progress} from '@jackdawfall/core';

import type {Client} from './types.js';

/** Members that are asked at the same time. */
const MAX_CONCURRENT = 32;
/** Longest wait for one answer. */
const ANSWER_MS = 2000;
/** Shortest wait for one answer, also at the end of the whole wait. */
const LEAST_ANSWER_MS = 200;
/** Time between two rounds of questions. */
const ROUND_MS = 200;

/** A member at which a change is not known to be in force. */
export interface Laggard {
  readonly member: string;
  /** What was seen there, for people. */
  readonly seen: string;
}

/** How a wait ended. */
export interface Waited {
  readonly members: number;
  /** Empty when the change is in force everywhere. */
  readonly lagging: readonly Laggard[];
}

/**
 * Waits until every live member has applied a change; asks each itself.
 *
 * @param client - The client.
 * @param accepted - The change.
 * @param limitMs - Longest wait, in milliseconds.
 * @returns Who lags at the end, if anyone.
 */
export async function waitUntilInForce(
  client: Client,
  accepted: AcceptedChange,
  limitMs: number,
): Promise<Waited> {
  const deadline = performance.now() + limitMs;
  const done = new Set<string>();
  for (;;) {
    const leftMs = deadline - performance.now();
    const answerMs = Math.max(
      LEAST_ANSWER_MS,
      Math.min(ANSWER_MS, Math.ceil(leftMs)),
    );
    const waited = await askAll(client, accepted, done, answerMs);
    const isOver = performance.now() + ROUND_MS > deadline;
    if (waited.lagging.length === 0 || isOver) return waited;
    await sleep(ROUND_MS);
  }
}

async function askAll(
  client: Client,
  accepted: AcceptedChange,
  done: Set<string>,
  answerMs: number,
): Promise<Waited> {
  const reply = await client.status(answerMs);
  if (reply.kind !== 'ok') {
    const laggard = {member: 'every member', seen: reply.detail};
    return {members: 0, lagging: [laggard]};
  }
  const {members} = reply.value;
  const open = members.filter(({member}) => !done.has(member));
  const lagging: Laggard[] = [];
  if (!isInForce(reply.value, accepted)) {
    const member = reply.value.member ?? 'the asked daemon';
    lagging.push({member, seen: versionsOf(reply.value)});
  }
  for (let at = 0; at < open.length; at += MAX_CONCURRENT) {
    const batch = open.slice(at, at + MAX_CONCURRENT);
    const seen = await Promise.all(
      batch.map(member => askOne(client, accepted, member, answerMs)),
    );
    batch.forEach(({member}, index) => {
      const text = seen[index];
      if (text === null) done.add(member);
      else lagging.push({member, seen: text});
    });
  }
  return {members: members.length, lagging};
}

/** Null when the change is in force there, else what was seen. */
async function askOne(
  client: Client,
  accepted: AcceptedChange,
  {member, operators}: MemberStatus,
  answerMs: number,
): Promise<string | null> {
  if (operators === null) return 'its operators port is not known';
  const reply = await client.progressOf(operators, answerMs);
  if (reply.kind !== 'ok') return reply.detail;
  if (reply.value.member !== member) {
    return `${operators} is ${reply.value.member ?? 'no member'} now`;
  }
  return isInForce(reply.value, accepted) ? null : versionsOf(reply.value);
}

function isInForce(
  progress: Progress,
  {version, configuration}: AcceptedChange,
): boolean {
  return progress.version >= version && progress.configuration >= configuration;
}

function versionsOf({version, configuration}: Progress): string {
  return `log version ${version}, configuration ${configuration}`;
}
