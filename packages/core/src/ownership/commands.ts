/** @fileoverview Operators' commands: queries, and changes to the log. */

import {beginAudit} from '../commands/audit.js';
import {
  renderAccepted,
  renderMap,
  renderProgress,
  renderStatus,
} from '../commands/view.js';
import {formatFaults} from '../validation/logic.js';
import type {ValidationFault} from '../validation/types.js';
import {hostOf} from '../ids/logic.js';
import type {ServiceName, ZoneName} from '../ids/types.js';
import type {Change} from '../log/types.js';
import type {Command, CommandResult} from '../loop/types.js';
import {suspectMember} from '../membership/evictions.js';
import {checkWorkspaceChange} from '../workspace/changes.js';
import {parseWorkspace} from '../workspace/schema.js';
import {reply} from './effects.js';
import type {
  OwnershipContext,
  OwnershipState,
  PendingCommand,
  ProposedChange,
} from './state.js';

/** Maximum number of commands that wait for their log entry. */
const MAX_PENDING_COMMANDS = 64;

/**
 * Maximum length of a configuration document; an entry has to fit into a
 * message between daemons.
 */
const MAX_DOCUMENT_CHARACTERS = 200_000;

/**
 * Handles a command: replies to a query immediately, queues a change.
 *
 * @param context - Context of the current input.
 * @param command - The command.
 * @param token - Identifies the reply.
 */
export function handleCommand(
  context: OwnershipContext,
  command: Command,
  token: number,
): void {
  const {state} = context;
  switch (command.kind) {
    case 'status':
      reply(context, token, ok(renderStatus(state, context.at)));
      return;
    case 'progress':
      reply(context, token, ok(renderProgress(state)));
      return;
    case 'map':
      reply(context, token, mapResult(state, command.service));
      return;
    case 'audit':
      beginAudit(context, command.limit, token);
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
 * Returns the next change that an operator asked for. Replies to commands that
 * can't be carried out or change nothing.
 *
 * @param context - Context of the current input.
 * @returns The change, or null if there is none.
 */
export function proposeOperatorChange(
  context: OwnershipContext,
): ProposedChange | null {
  const {state} = context;
  for (const pending of [...state.pendingCommands]) {
    if (pending.writeId !== null) continue;
    const outcome = resolveCommand(context, pending.command);
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
 * Replies to the command whose entry was applied.
 *
 * @param context - Context of the current input.
 * @param writeId - Write id of the entry.
 * @param version - Log version of the entry.
 */
export function completeCommand(
  context: OwnershipContext,
  writeId: string,
  version: number,
): void {
  const pending = context.state.pendingCommands.find(
    each => each.writeId === writeId,
  );
  if (pending === undefined) return;
  finish(context, pending, accepted(context.state, version));
}

/**
 * Requeues commands whose log entry lost the race for its version, and replies
 * to those that took too long.
 *
 * @param context - Context of the current input.
 */
export function retryOrExpireCommands(context: OwnershipContext): void {
  const {state, at} = context;
  const current = state.logWriter.append?.entry.writeId ?? null;
  for (const pending of [...state.pendingCommands]) {
    const written = pending.writeId;
    if (written !== null && written !== current) pending.writeId = null;
    if (at.monotonic < pending.expiresAt) continue;
    const kind = mayTakeEffect(pending) ? 'unknown' : 'unavailable';
    const detail = 'the platform did not answer in time';
    finish(context, pending, {kind, detail});
  }
}

/**
 * Returns whether a command may still take effect: its entry may be committed,
 * and the eviction of a member goes on after the command has expired.
 */
function mayTakeEffect({writeId, command}: PendingCommand): boolean {
  return writeId !== null || command.kind === 'endMember';
}

/** Decision about a command: a change to append, or an immediate result. */
type CommandOutcome =
  {readonly change: Change} | {readonly result: CommandResult};

/** Decides about a command; null if it waits for an eviction. */
function resolveCommand(
  context: OwnershipContext,
  command: Command,
): CommandOutcome | null {
  const {state} = context;
  switch (command.kind) {
    case 'apply':
      return applyOutcome(state, command);
    case 'zone':
      return zoneOutcome(state, command.zone as ZoneName, command.out);
    case 'stopServer':
      return stopOutcome(state, command.host);
    case 'endMember':
      return removalOutcome(context, command);
    case 'status':
    case 'progress':
    case 'map':
    case 'audit':
      return null;
  }
}

function applyOutcome(
  state: OwnershipState,
  command: Extract<Command, {kind: 'apply'}>,
): CommandOutcome {
  const current = state.map.configuration?.number ?? 0;
  if (command.basedOn !== current) {
    const detail = `based on version ${command.basedOn}, current is ${current}`;
    return {result: {kind: 'conflict', detail}};
  }
  if (command.document.length > MAX_DOCUMENT_CHARACTERS) {
    const message = `has more than ${MAX_DOCUMENT_CHARACTERS} characters`;
    return rejected([{path: 'document', message}]);
  }
  const parsed = parseWorkspace(command.document);
  if (parsed.kind === 'invalid') return rejected(parsed.faults);
  const before = state.map.configuration?.workspace;
  const faults = before ? checkWorkspaceChange(before, parsed.workspace) : [];
  if (faults.length > 0) return rejected(faults);
  const number = current + 1;
  const document = JSON.stringify({...parsed.workspace, version: number});
  return {change: {kind: 'configured', number, document}};
}

function rejected(faults: readonly ValidationFault[]): CommandOutcome {
  const detail = `the document is not valid:\n${formatFaults(faults)}`;
  return {result: {kind: 'rejected', detail}};
}

function zoneOutcome(
  state: OwnershipState,
  zone: ZoneName,
  out: boolean,
): CommandOutcome {
  const zones = state.map.configuration?.workspace.zones ?? [];
  if (!zones.includes(zone)) {
    const detail = `no availability zone ${zone}`;
    return {result: {kind: 'rejected', detail}};
  }
  if (state.map.zonesOut.has(zone) === out) {
    return {result: accepted(state, state.map.version)};
  }
  return {change: {kind: 'zone', zone, out}};
}

function stopOutcome(state: OwnershipState, host: string): CommandOutcome {
  // The newest member of the host: an older one there is a predecessor that
  // has to be evicted.
  const member = [...state.map.members.values()]
    .reverse()
    .find(each => hostOf(each.id) === host);
  if (member === undefined) {
    const detail = `no live member on host ${host}`;
    return {result: {kind: 'rejected', detail}};
  }
  if (member.draining) {
    return {result: accepted(state, state.map.version)};
  }
  return {change: {kind: 'draining', member: member.id}};
}

/** Removes a member by an eviction, which reads the member's row first. */
function removalOutcome(
  context: OwnershipContext,
  command: Extract<Command, {kind: 'endMember'}>,
): CommandOutcome | null {
  const {state} = context;
  const {member, by} = command;
  if (state.map.ended.has(member)) {
    return {result: accepted(state, state.map.version)};
  }
  if (!state.map.members.has(member) || member === state.self) {
    const detail = `${member} is not another live member`;
    return {result: {kind: 'rejected', detail}};
  }
  suspectMember(context, member, state.self, {row: 0, quietMs: 0}, by);
  return null;
}

function queueCommand(
  context: OwnershipContext,
  command: Command,
  token: number,
): void {
  const {state, at} = context;
  if (state.pendingCommands.length >= MAX_PENDING_COMMANDS) {
    const detail = 'too many commands wait';
    reply(context, token, {kind: 'unavailable', detail});
    return;
  }
  const expiresAt = at.monotonic + state.settings.tuning.log.commandMs;
  state.pendingCommands.push({command, token, expiresAt, writeId: null});
  state.runTasksNow = true;
}

function finish(
  context: OwnershipContext,
  pending: PendingCommand,
  result: CommandResult,
): void {
  const {state} = context;
  state.pendingCommands = state.pendingCommands.filter(
    each => each !== pending,
  );
  reply(context, pending.token, result);
}

function operatorOf(command: Command): string {
  return 'by' in command ? command.by : '';
}

function mapResult(state: OwnershipState, service: ServiceName): CommandResult {
  const view = renderMap(state.map, service);
  if (view !== null) return ok(view);
  return {kind: 'rejected', detail: `no keyed service ${service}`};
}

function accepted(state: OwnershipState, version: number): CommandResult {
  return ok(renderAccepted(state, version));
}

function ok(body: unknown): CommandResult {
  return {kind: 'ok', body: JSON.stringify(body)};
}
