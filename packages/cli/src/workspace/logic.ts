/** @fileoverview Reading the configuration, and applying one based on it. */

import type {Workspace} from '@jackdawfall/core';
import {checkWorkspaceChange} from '@jackdawfall/core';

import {executeChange} from '../action/logic.js';
import type {Client} from '../client/types.js';
import {CommandError, failureReport, invalidReport} from '../output/logic.js';
import type {Report} from '../output/types.js';
import {checkDocument} from '../template/logic.js';

/** What `workspace apply` has to do. */
export interface ApplyRequest {
  readonly workspace: Workspace;
  /** Version that the new one is based on; null for the one in force. */
  readonly basedOn: number | null;
  readonly by: string;
  readonly waitSeconds: number;
}

/**
 * Reads the configuration in force.
 *
 * @param client - The client.
 * @returns The workspace, or null before the first configuration.
 * @throws CommandError if no daemon returns it.
 */
export async function readCurrentWorkspace(
  client: Client,
): Promise<Workspace | null> {
  const reply = await client.status();
  if (reply.kind !== 'ok') throw new CommandError(failureReport(reply));
  const {document, configuration: version} = reply.value;
  if (document === null) return null;
  const workspace = checkDocument('the configuration in force', document);
  return {...workspace, version};
}

/**
 * Applies a configuration, provided that the one in force is the version on
 * which it is based.
 *
 * @param client - The client.
 * @param request - The configuration and what it is based on.
 * @returns The report; a conflict if another version came into force meanwhile.
 */
export async function applyWorkspace(
  client: Client,
  request: ApplyRequest,
): Promise<Report> {
  const {by, waitSeconds} = request;
  const current = await readCurrentWorkspace(client);
  const basedOn = request.basedOn ?? current?.version ?? 0;
  if (current && current.version === basedOn) {
    const faults = checkWorkspaceChange(current, request.workspace);
    if (faults.length > 0) return invalidReport('the change', faults);
  }
  const version = basedOn + 1;
  const document = JSON.stringify({...request.workspace, version});
  return executeChange(
    client,
    {kind: 'apply', basedOn, document, by},
    `configuration ${version} is accepted, based on ${basedOn}`,
    waitSeconds,
  );
}
