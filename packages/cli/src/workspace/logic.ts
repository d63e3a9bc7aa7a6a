/** @fileoverview Accepting a configuration on top of the one that was read. */

import type {Workspace} from '@jackdawfall/core';
import {checkWorkspaceChange} from '@jackdawfall/core';

import {carryOut} from '../action/logic.js';
import type {Client} from '../client/types.js';
import {CommandError, failureReport, invalidReport} from '../output/logic.js';
import type {Report} from '../output/types.js';
import {checkDocument} from '../template/logic.js';

/** What `workspace apply` was asked to do. */
export interface Application {
  readonly workspace: Workspace;
  /** Version the operator has read; null to read it now. */
  readonly basedOn: number | null;
  readonly by: string;
  readonly waitSeconds: number;
}

/**
 * Reads the configuration in force.
 *
 * @param client - The client.
 * @returns The workspace, or null before the first configuration.
 * @throws CommandError if no daemon tells.
 */
export async function readCurrent(client: Client): Promise<Workspace | null> {
  const reply = await client.status();
  if (reply.kind !== 'ok') throw new CommandError(failureReport(reply));
  const {document, configuration: version} = reply.value;
  if (document === null) return null;
  const workspace = checkDocument('the configuration in force', document);
  return {...workspace, version};
}

/**
 * Offers a configuration, conditional on the version it is based on.
 *
 * @param client - The client.
 * @param application - The document and what it is based on.
 * @returns The report; a conflict if another change came between.
 */
export async function applyWorkspace(
  client: Client,
  application: Application,
): Promise<Report> {
  const {by, waitSeconds} = application;
  const current = await readCurrent(client);
  const basedOn = application.basedOn ?? current?.version ?? 0;
  if (current && current.version === basedOn) {
    const faults = checkWorkspaceChange(current, application.workspace);
    if (faults.length > 0) return invalidReport('the change', faults);
  }
  const version = basedOn + 1;
  const document = JSON.stringify({...application.workspace, version});
  return carryOut(
    client,
    {kind: 'apply', basedOn, document, by},
    `configuration ${version} is accepted, based on ${basedOn}`,
    waitSeconds,
  );
}
