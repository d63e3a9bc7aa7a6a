/** @fileoverview Operators' commands. */

import {hostOf} from '../ids/logic.js';
import type {MemberId, ZoneName} from '../ids/types.js';
import type {Change} from '../log/types.js';
import type {Command, CommandResult} from '../loop/types.js';
import {suspectMember} from '../membership/endings.js';
import type {StoreReply} from '../store/types.js';
import {callStore, reply} from './effects.js';
import type {Context, Ownership, PendingCommand, Wanted} from './state.js';
import {renderMap, renderOwnership} from './view.js';

/** Most audit rows in one answer. */
const MOST_AUDIT_ROWS = 1000;

/**
 * Takes a command.
 *
 * @param context - The step.
 * @param command - The command.
 * @param token - Names the answer.
 */
export function takeCommand(
  context: Context,
  command: Command,
  token: number,
): void {
  const {state} = context;
  switch (command.kind) {
    case 'status':
      reply(context, token, ok(renderOwnership(state, context.at)));
      return;
    case 'map':
      reply(context, token, ok(renderMap(state, command.service)));
      return;
    case 'audit':
      readAudit(context, command.limit, token);
      return;
    case 'apply':
    case 'zone':
    case 'stopServer':
    case 'endMember':
      queueCommand(context, command, token);
      return;
  }
}

/**
 * Finds the next change that an operator asked for; answers commands that
 * can't be carried out.
 *
 * @param context - The step.
 * @returns The change, or null.
 */
export function wantedByOperators(context: Context): Wanted | null {
  const {state} = context;
  for (const pending of [...state.commands]) {
    if (pending.writeId !== null) continue;
    const outcome = changeOf(context, pending.command);
    if (outcome === null) continue;
    if ('result' in outcome) {
      finish(context, pending, outcome.result);
      continue;
    }
    const by = operatorOf(pending.command);
    return {change: outcome.change, by, command: pending};
  }
  return null;
}

/**
 * Answers the command whose entry was applied.
 *
 * @param context - The step.
 * @param writeId - Write id of the entry.
 * @param version - Its version.
 */
export function noteCommandDone(
  context: Context,
  writeId: string,
  version: number,
): void {
  const pending = context.state.commands.find(each => each.writeId === writeId);
  if (pending === undefined) return;
  const number = context.state.map.configuration?.number ?? 0;
  finish(context, pending, ok({version, configuration: number}));
}

/**
 * Lets commands be tried anew whose entry lost its version to another, and
 * ends those that took too long.
 *
 * @param context - The step.
 */
export function reviewCommands(context: Context): void {
  const {state, at} = context;
  const current = state.journal.append?.entry.writeId ?? null;
  for (const pending of [...state.commands]) {
    const written = pending.writeId;
    if (written !== null && written !== current) pending.writeId = null;
    if (at.monotonic < pending.expiresAt) continue;
    const open = pending.writeId !== null && state.journal.append?.unresolved;
    const detail = 'the platform did not answer in time';
    finish(context, pending, {kind: open ? 'unknown' : 'unavailable', detail});
  }
}

/**
 * Answers an audit command.
 *
 * @param context - The step.
 * @param token - Names the answer.
 * @param answer - The platform's reply.
 */
export function takeAudit(
  context: Context,
  token: number,
  answer: StoreReply,
): void {
  if (answer.kind !== 'rows') {
    const detail = 'the platform could not be read';
    reply(context, token, {kind: 'unavailable', detail});
    return;
  }
  const rows = answer.rows.map(row => JSON.parse(row.value) as unknown);
  reply(context, token, ok(rows));
}

type Outcome = {readonly change: Change} | {readonly result: CommandResult};

function changeOf(context: Context, command: Command): Outcome | null {
  const {state} = context;
  switch (command.kind) {
    case 'apply':
      return applyOutcome(state, command);
    case 'zone':
      return zoneOutcome(state, command.zone as ZoneName, command.out);
    case 'stopServer':
      return stopOutcome(state, command.host);
    case 'endMember':
      return endOutcome(context, command.member);
    case 'status':
    case 'map':
    case 'audit':
      return null;
  }
}

function applyOutcome(
  state: Ownership,
  command: Extract<Command, {kind: 'apply'}>,
): Outcome {
  const current = state.map.configuration?.number ?? 0;
  if (command.basedOn !== current) {
    const detail = `based on version ${command.basedOn}, current is ${current}`;
    return {result: {kind: 'conflict', detail}};
  }
  const fault = faultOf(state, command.document);
  if (fault !== null) return {result: {kind: 'rejected', detail: fault}};
  const {document} = command;
  return {change: {kind: 'configured', number: current + 1, document}};
}

function faultOf(state: Ownership, document: string): string | null {
  let services: unknown;
  try {
    services = (JSON.parse(document) as {services?: unknown}).services;
  } catch {
    return 'the document is not JSON';
  }
  if (!Array.isArray(services)) return 'the document has no services';
  for (const service of services as Array<Record<string, unknown>>) {
    const known = [...state.map.services.values()].find(
      each => each.name === service.name,
    );
    const division = service.division as {slices?: number} | undefined;
    if (known === undefined || division?.slices === undefined) continue;
    if (known.slices === division.slices) continue;
    return `service ${known.name} keeps its ${known.slices} slices for life`;
  }
  return null;
}

function zoneOutcome(state: Ownership, zone: ZoneName, out: boolean): Outcome {
  const zones = state.map.configuration?.workspace.zones ?? [];
  if (!zones.includes(zone)) {
    const detail = `no availability zone ${zone}`;
    return {result: {kind: 'rejected', detail}};
  }
  if (state.map.zonesOut.has(zone) === out) {
    return {result: ok({version: state.map.version, unchanged: true})};
  }
  return {change: {kind: 'zone', zone, out}};
}

function stopOutcome(state: Ownership, host: string): Outcome {
  const member = [...state.map.members.values()].find(
    each => hostOf(each.id) === host,
  );
  if (member === undefined) {
    const detail = `no live member on host ${host}`;
    return {result: {kind: 'rejected', detail}};
  }
  if (member.draining) {
    return {result: ok({version: state.map.version, unchanged: true})};
  }
  return {change: {kind: 'draining', member: member.id}};
}

/** Ends by way of the endings, which read the member's row first. */
function endOutcome(context: Context, member: MemberId): Outcome | null {
  const {state} = context;
  if (state.map.ended.has(member)) {
    return {result: ok({version: state.map.version})};
  }
  if (!state.map.members.has(member) || member === state.self) {
    const detail = `${member} is not another live member`;
    return {result: {kind: 'rejected', detail}};
  }
  suspectMember(context, member, state.self, true);
  return null;
}

function queueCommand(context: Context, command: Command, token: number): void {
  const {state, at} = context;
  const expiresAt = at.monotonic + state.settings.tuning.log.commandMs;
  state.commands.push({command, token, expiresAt, writeId: null});
  state.dirty = true;
}

function finish(
  context: Context,
  pending: PendingCommand,
  result: CommandResult,
): void {
  const {state} = context;
  state.commands = state.commands.filter(each => each !== pending);
  reply(context, pending.token, result);
}

function readAudit(context: Context, limit: number, token: number): void {
  const {state} = context;
  const {keys, map} = state;
  const most = Math.min(limit, MOST_AUDIT_ROWS);
  callStore(
    context,
    {kind: 'audit', token},
    {
      kind: 'read',
      query: {
        kind: 'range',
        from: keys.audit(0),
        to: keys.auditEnd,
        limit: Math.max(most, map.version > 0 ? 1 : 0),
      },
    },
  );
}

function operatorOf(command: Command): string {
  return 'by' in command ? command.by : '';
}

function ok(body: unknown): CommandResult {
  return {kind: 'ok', body: JSON.stringify(body)};
}
