/** @fileoverview Actions of operators and callers on a running cluster. */

import type {Cluster, Host} from './types.js';
import type {LoadRoute} from '../load/types.js';
import type {
  Command,
  CommandResult,
  ParameterValue,
  Workspace,
} from '@jackdawfall/core';
import {readFile} from 'node:fs/promises';

import {expandTemplate, parseTemplate, parseWorkspace} from '@jackdawfall/core';

import {get, post} from '../control/client.js';
import {sleep} from '../control/logic.js';

const TEMPLATES = new URL('../../../../templates/', import.meta.url);
/** Pause between two tries of a command. */
const RETRY_INTERVAL_MS = 50;
const COMMAND_TIMEOUT_MS = 5000;
/** Interval of lookups of a key that is not served yet. */
const PROBE_INTERVAL_MS = 250;
/** Delay between the first lookups of two keys, which avoids a burst. */
const STAGGER_MS = 5;
const STATUS_TIMEOUT_MS = 1000;
const OK = 200;
/** Added to a route's timeout, so callers wait for the error response. */
const CALLER_GRACE_MS = 1500;

/** Thrown when the cluster doesn't do in time what is expected. */
export class ExpectationError extends Error {
  override readonly name = 'ExpectationError';
}

/** Parameters of a template by name. */
export type TemplateParameters = Readonly<Record<string, ParameterValue>>;

/**
 * Expands the city template with the parameters of Taipei.
 *
 * @param changes - Parameters that differ.
 * @returns The configuration document.
 * @throws {ExpectationError} When the template or a parameter is invalid.
 */
export async function buildCityDocument(
  changes: TemplateParameters,
): Promise<Workspace> {
  const read = parseTemplate(await readTemplate('city_service.json'));
  if (read.kind === 'invalid') {
    throw new ExpectationError(JSON.stringify(read.faults));
  }
  const taipei = await readTemplate('parameters/taipei.json');
  const values = {...(JSON.parse(taipei) as TemplateParameters), ...changes};
  const expanded = expandTemplate(read.value, values);
  if (expanded.kind === 'invalid') {
    throw new ExpectationError(JSON.stringify(expanded.faults));
  }
  const parsed = parseWorkspace(JSON.stringify(expanded.document));
  if (parsed.kind === 'ok') return parsed.workspace;
  throw new ExpectationError(JSON.stringify(parsed.faults));
}

/**
 * Sends an operator's command to a daemon.
 *
 * @param host - The daemon's host.
 * @param body - The command.
 * @returns The result; `unknown` without a reply.
 */
export async function sendCommand(
  host: Host,
  body: Command,
): Promise<CommandResult> {
  try {
    const url = `http://${host.operators}/commands`;
    const reply = await post(url, body, COMMAND_TIMEOUT_MS);
    return JSON.parse(reply.body) as CommandResult;
  } catch (error) {
    return {kind: 'unknown', detail: String(error)};
  }
}

/**
 * Applies a document through one daemon; tries again until it is accepted.
 *
 * @param host - The daemon's host.
 * @param document - The configuration.
 * @param basedOn - Version that the operator has read.
 * @param withinMs - Timeout, in milliseconds.
 * @returns The result.
 * @throws {ExpectationError} When it is rejected or not accepted in time.
 */
export async function applyUntilAccepted(
  host: Host,
  document: Workspace,
  basedOn: number,
  withinMs: number,
): Promise<CommandResult> {
  const command: Command = {
    kind: 'apply',
    basedOn,
    document: JSON.stringify(document),
    by: 'scenario',
  };
  const untilMs = performance.now() + withinMs;
  for (;;) {
    const result = await sendCommand(host, command);
    if (result.kind === 'ok') return result;
    if (performance.now() > untilMs || result.kind === 'rejected') {
      throw new ExpectationError(`apply: ${JSON.stringify(result)}`);
    }
    await sleep(RETRY_INTERVAL_MS);
  }
}

/**
 * Fetches the status of a daemon.
 *
 * @param host - The daemon's host.
 * @returns The status, or null without a reply.
 */
export async function fetchStatus(host: Host): Promise<DaemonStatus | null> {
  try {
    const url = `http://${host.operators}/status`;
    const reply = await get(url, STATUS_TIMEOUT_MS);
    return JSON.parse(reply.body) as DaemonStatus;
  } catch {
    return null;
  }
}

/** The parts of a daemon's status that scenarios check. */
export interface DaemonStatus {
  readonly ownership: {
    readonly member: string;
    readonly version: number;
    readonly configuration: number;
    readonly members: ReadonlyArray<{readonly member: string}>;
  };
}

/**
 * Waits until every key of some services is served. Each key is looked up
 * through one of the hosts in turn.
 *
 * @param hosts - Hosts of the daemons that get the lookups.
 * @param services - Names of the services.
 * @param keys - Number of keys of each service.
 * @param withinMs - Timeout, in milliseconds.
 * @returns Time it took, in milliseconds.
 * @throws {ExpectationError} Names the first key that was not served.
 */
export async function waitUntilServed(
  hosts: readonly Host[],
  services: readonly string[],
  keys: number,
  withinMs: number,
): Promise<number> {
  const startMs = performance.now();
  const waiting = services.flatMap(service =>
    Array.from({length: keys}, (_, index) => ({service, index})),
  );
  await Promise.all(
    waiting.map(async ({service, index}, order) => {
      await sleep(order * STAGGER_MS);
      const host = hosts[index % hosts.length];
      const path = `/${service}/key-${index}`;
      await waitUntilKeyServed(host, path, startMs + withinMs);
    }),
  );
  return performance.now() - startMs;
}

/**
 * Selects the interactive routes of services, for a load of callers.
 *
 * @param document - The configuration.
 * @param services - Names of the services.
 * @returns Routes with equal weights.
 */
export function loadRoutesOf(
  document: Workspace,
  services: readonly string[],
): LoadRoute[] {
  const chosen = document.routes.filter(
    route =>
      services.includes(route.service) && route.priority === 'interactive',
  );
  return chosen.map(route => ({
    name: `${route.method} ${route.service}`,
    service: route.service,
    weight: 1,
    method: route.method,
    path: route.path,
    timeoutMs: route.timeoutMs + CALLER_GRACE_MS,
  }));
}

/**
 * Lists the hosts whose daemon runs and is not frozen.
 *
 * @param cluster - The cluster.
 * @returns Hosts in the order of the plan.
 */
export function liveHosts(cluster: Cluster): Host[] {
  return [...cluster.hosts.values()].filter(
    host => host.daemon?.isRunning() && !host.frozen,
  );
}

async function readTemplate(name: string): Promise<string> {
  return readFile(new URL(name, TEMPLATES), 'utf8');
}

/** Repeats the lookup at an interval; earlier lookups stay open meanwhile. */
async function waitUntilKeyServed(
  host: Host,
  path: string,
  untilMs: number,
): Promise<void> {
  const probe = {answered: false, last: 'no answer'};
  while (!probe.answered) {
    const leftMs = untilMs - performance.now();
    if (leftMs <= 0) {
      const place = `${path} via ${host.plan.host}`;
      throw new ExpectationError(`${place}: ${probe.last}`);
    }
    void lookUp(`http://${host.callers}${path}`, leftMs, probe);
    await sleep(Math.min(leftMs, PROBE_INTERVAL_MS));
  }
}

async function lookUp(
  url: string,
  timeoutMs: number,
  probe: {answered: boolean; last: string},
): Promise<void> {
  try {
    const reply = await get(url, timeoutMs);
    if (reply.status === OK) probe.answered = true;
    else probe.last = reply.body;
  } catch (error) {
    probe.last = String(error);
  }
}
