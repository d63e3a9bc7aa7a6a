/** @fileoverview Executing commands that change something. */

import type {AcceptedChange} from '@jackdawfall/core';

import type {ChangeCommand, Client} from '../client/types.js';
import type {WaitResult} from '../client/wait.js';
import {waitUntilInForce} from '../client/wait.js';
import {failureReport} from '../output/logic.js';
import type {Report} from '../output/types.js';
import {renderTable} from '../output/view.js';

const MS_PER_S = 1000;

/**
 * Sends a command that changes something, and waits until the change is in
 * force if asked to.
 *
 * @param client - The client.
 * @param command - The command.
 * @param successText - Text for the report once the command is accepted.
 * @param waitSeconds - Maximum wait, in seconds, until the change is in force
 * at every member; 0 for none.
 * @returns The report.
 */
export async function executeChange(
  client: Client,
  command: ChangeCommand,
  successText: string,
  waitSeconds: number,
): Promise<Report> {
  const reply = await client.change(command);
  if (reply.kind !== 'ok') return failureReport(reply);
  const accepted = reply.value;
  const text = `${successText}, log version ${accepted.version}`;
  if (waitSeconds === 0) {
    return {exit: 'ok', text, body: {kind: 'ok', ...accepted}};
  }
  const timeoutMs = waitSeconds * MS_PER_S;
  const result = await waitUntilInForce(client, accepted, timeoutMs);
  return waitReport(text, accepted, result, waitSeconds);
}

function waitReport(
  text: string,
  accepted: AcceptedChange,
  {members, lagging}: WaitResult,
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
