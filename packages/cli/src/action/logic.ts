/** @fileoverview Carrying out commands that change something. */

import type {AcceptedChange} from '@jackdawfall/core';

import type {Change, Client} from '../client/types.js';
import type {Waited} from '../client/wait.js';
import {waitUntilInForce} from '../client/wait.js';
import {failureReport} from '../output/logic.js';
import type {Report} from '../output/types.js';
import {renderTable} from '../output/view.js';

const MS_PER_S = 1000;

/**
 * Gives a command and waits for it if asked to.
 *
 * @param client - The client.
 * @param command - The command.
 * @param done - What to say once it is accepted.
 * @param waitSeconds - Longest wait until it is in force everywhere; 0 for
 *     none.
 * @returns The report.
 */
export async function carryOut(
  client: Client,
  command: Change,
  done: string,
  waitSeconds: number,
): Promise<Report> {
  const reply = await client.change(command);
  if (reply.kind !== 'ok') return failureReport(reply);
  const accepted = reply.value;
  const text = `${done}, log version ${accepted.version}`;
  if (waitSeconds === 0) {
    return {exit: 'ok', text, body: {kind: 'ok', ...accepted}};
  }
  const limitMs = waitSeconds * MS_PER_S;
  const waited = await waitUntilInForce(client, accepted, limitMs);
  return waitReport(text, accepted, waited, waitSeconds);
}

function waitReport(
  text: string,
  accepted: AcceptedChange,
  {members, lagging}: Waited,
  waitSeconds: number,
): Report {
  if (lagging.length === 0) {
    const body = {kind: 'ok', ...accepted, members};
    return {exit: 'ok', text: `${text}\nin force at ${members} members`, body};
  }
  const table = renderTable(
    ['LAGGING', 'SEEN'],
    lagging.map(({member, seen}) => [member, seen]),
  );
  const notice = `accepted, but not in force everywhere after ${waitSeconds} s:`;
  return {
    exit: 'not-in-force',
    text: `${text}\n${notice}\n${table}`,
    body: {kind: 'not-in-force', ...accepted, members, lagging},
  };
}
