/**
 * @fileoverview Committing changes for other members. Daemons that change the
 * log at the same time, as when a fleet forms or when the owners in a move release
 * their slices, would race for its entries. They ask one of a few members, which
 * commits the changes of all that asked in one entry. Only changes that are
 * harmless if they take effect late are passed on: a late `joined` leaves a
 * member without a lease, which is evicted, a late `offered` raises generations,
 * and a late `released` doesn't match the generations of its slices any more.
 */

import {hostOf} from '../ids/logic.js';
import type {MemberId, ServiceName, Slice} from '../ids/types.js';
import {MAX_LIST_CHARACTERS, changesOf} from '../log/logic.js';
import type {Change, Entry, MemberChange, Release} from '../log/types.js';
import type {ClusterMap} from '../map/types.js';
import type {ControlMessage} from '../messages/types.js';
import {parseDocument} from '../validation/logic.js';
import {PROPOSAL_SCHEMA} from './types.js';
import type {Proposal, ProposedRelease, Proposals} from './types.js';
import {log, send} from '../ownership/effects.js';
import type {
  OwnershipContext,
  OwnershipState,
  ProposedChange,
} from '../ownership/state.js';
import {currentRanks} from '../ownership/state.js';

/** Number of members that commit for others. */
const MAX_COMMITTERS = 3;
/** Time after which the daemon tries to append the change itself. */
const REQUEST_TIMEOUT_MS = 500;
/**
 * Age by the wall clock up to which a member that joined is a newcomer, and time
 * after joining for which newcomers are asked to commit.
 */
const FORMING_MS = 3000;
/** Time for which changes are collected before they are committed. */
const COLLECT_MS = 50;
/**
 * Maximum rows and checks that the changes of one entry add to its transaction.
 * The users' platform takes 100, of which the log and the audit trail need four.
 */
const MAX_ADDED_ROWS = 96;

/** Slices of one service that several owners release. */
type DrainedSlices = Pick<Release, 'slices' | 'handovers'>;

/**
 * Asks another member to commit a change that may be passed on: slices to
 * release, as other owners of the same move do at the same time, and anything
 * else while the fleet forms or after a lost race for a log entry.
 *
 * @param context - Context of the current input.
 * @param proposal - What this daemon would append.
 * @param proposal.change - Its change.
 * @returns Whether another member was asked and may still commit it, or it waits
 *     for those of others here; otherwise this daemon has to append it now.
 */
export function requestCommit(
  context: OwnershipContext,
  {change}: ProposedChange,
): boolean {
  const {state, at} = context;
  const {proposals, logWriter} = state;
  const proposed = proposalOf(state, change);
  const isRaced =
    change.kind === 'released' || logWriter.failures > 0 || isForming(context);
  if (proposed === null || !isRaced) {
    proposals.sent = null;
    return false;
  }
  if (proposed.kind === 'released' && currentRanks(state)[0] === state.self) {
    collect(context, proposed);
    return true;
  }
  const text = JSON.stringify(proposed);
  if (proposals.sent?.text !== text) {
    proposals.sent = {text, to: null, timeoutAt: at.monotonic};
  }
  const {sent} = proposals;
  if (at.monotonic < sent.timeoutAt) return true;
  if (sent.to !== null) forgetNewcomer(proposals, sent.to);
  const committers = committersOf(context);
  const [to] = committers;
  if (sent.to !== null || to === undefined) {
    proposals.sent = null;
    return false;
  }
  sent.to = to;
  sent.timeoutAt = at.monotonic + REQUEST_TIMEOUT_MS;
  if (change.kind === 'joined') proposals.joinRequestedAt ??= at;
  send(context, to, {kind: 'propose', change: text});
  log(context, 'commitRequested', {change: change.kind, to});
  return true;
}

/**
 * Handles that a link was lost: a member that was asked over it may have ended,
 * so this daemon tries itself.
 *
 * @param context - Context of the current input.
 * @param peer - The member at its other end.
 */
export function handleCommitterLost(
  context: OwnershipContext,
  peer: MemberId,
): void {
  const {state, at} = context;
  const {sent} = state.proposals;
  if (sent?.to !== peer) return;
  sent.timeoutAt = at.monotonic;
  state.runTasksNow = true;
}

/**
 * Handles a request to commit a change. If the change is in effect already, the
 * sender is told the version of the log.
 *
 * @param context - Context of the current input.
 * @param from - The sender. A request that can't be parsed or is about another
 *     member is ignored.
 * @param message - The request.
 */
export function handlePropose(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'propose'}>,
): void {
  const {state} = context;
  if (state.phase !== 'joined') return;
  const parsed = parseDocument(message.change, PROPOSAL_SCHEMA);
  const change = parsed.kind === 'ok' ? (parsed.value as Proposal) : null;
  if (change?.member !== from) {
    log(context, 'commitRequestIgnored', {from});
    return;
  }
  if (isInEffect(state.map, change)) {
    announceVersion(context, from);
    return;
  }
  collect(context, change);
  state.runTasksNow = true;
}

/** Keeps a change for the next entry; a newer one of its member replaces it. */
function collect({state, at}: OwnershipContext, change: Proposal): void {
  const {received} = state.proposals;
  const receivedAt = at.monotonic;
  const waitsSince = received.get(change.member)?.waitsSince ?? receivedAt;
  received.set(change.member, {change, receivedAt, waitsSince});
}

/**
 * Combines the changes that others asked for, once some time has passed since
 * the first of them was received.
 *
 * @param context - Context of the current input.
 * @returns One change for all of them, or null if there are none.
 */
export function proposeReceived(
  context: OwnershipContext,
): ProposedChange | null {
  const {state, at} = context;
  const {received} = state.proposals;
  const combined = new CombinedChanges(state.map);
  let oldest = Infinity;
  for (const [member, {change, receivedAt, waitsSince}] of received) {
    const expired = at.monotonic - receivedAt > REQUEST_TIMEOUT_MS;
    if (expired || isInEffect(state.map, change)) {
      received.delete(member);
      continue;
    }
    oldest = Math.min(oldest, waitsSince);
    combined.add(change);
  }
  const isDue = at.monotonic - oldest >= COLLECT_MS;
  if (!combined.isFull && !isDue) return null;
  return {
    change: {kind: 'combined', changes: combined.list()},
    by: state.self,
  };
}

/** Changes of several members for one entry; releases of a service are merged. */
class CombinedChanges {
  private readonly changes: MemberChange[] = [];
  private readonly releases = new Map<ServiceName, DrainedSlices>();
  private addedRows = 0;
  private characters = 0;
  private full = false;

  constructor(private readonly map: ClusterMap) {}

  /** Returns whether a change was left out. */
  get isFull(): boolean {
    return this.full;
  }

  /** Adds a change if it and all before it fit. */
  add(change: Proposal): void {
    if (this.full) return;
    if (change.kind === 'released') this.addRelease(change);
    else this.addMemberChange(withKnownPredecessor(this.map, change));
  }

  /** Returns the changes for the entry. */
  list(): Array<MemberChange | Release> {
    const releases = [...this.releases].map(
      ([service, drained]) =>
        ({kind: 'released', service, ...drained}) as const,
    );
    return [...this.changes, ...releases];
  }

  private addMemberChange(change: MemberChange): void {
    if (this.fits(JSON.stringify(change).length, addedRowsOf(change))) {
      this.changes.push(change);
    }
  }

  private addRelease(change: ProposedRelease): void {
    const slices = releasableSlices(this.map, change);
    const released = new Set(slices);
    const handovers = change.handovers.filter(each => released.has(each.slice));
    if (!this.fits(JSON.stringify([slices, handovers]).length, 0)) return;
    const drained = this.releases.get(change.service);
    this.releases.set(change.service, {
      slices: [...(drained?.slices ?? []), ...slices],
      handovers: [...(drained?.handovers ?? []), ...handovers],
    });
  }

  /** Reserves room for a change; the first one fits whatever its length. */
  private fits(characters: number, rows: number): boolean {
    this.full =
      this.addedRows + rows > MAX_ADDED_ROWS ||
      (this.characters > 0 &&
        this.characters + characters > MAX_LIST_CHARACTERS);
    if (this.full) return false;
    this.addedRows += rows;
    this.characters += characters;
    return true;
  }
}

/** A member that joins has a check and a row; its predecessor's is removed. */
function addedRowsOf(change: MemberChange): number {
  if (change.kind !== 'joined') return 0;
  return change.replaces === null ? 2 : 3;
}

/**
 * Handles an applied entry: tells those that asked for its changes, and keeps
 * the first newcomers.
 *
 * @param context - Context of the current input.
 * @param entry - The entry.
 */
export function recordApplied(context: OwnershipContext, entry: Entry): void {
  const {state, at} = context;
  const {received, newcomers} = state.proposals;
  const isRecent = Math.abs(at.wall - entry.at) < FORMING_MS;
  for (const each of changesOf(entry.change)) {
    if (!isMemberChange(each)) continue;
    const {member} = each;
    const isNewcomer = each.kind === 'joined' && isRecent;
    if (isNewcomer && newcomers.length < MAX_COMMITTERS) newcomers.push(member);
    if (received.get(member)?.change.kind === 'released') continue;
    if (received.delete(member)) announceVersion(context, member);
  }
  for (const [member, {change: asked}] of received) {
    if (asked.kind !== 'released' || !isInEffect(state.map, asked)) continue;
    received.delete(member);
    announceVersion(context, member);
  }
}

/** A newcomer that did not answer may have ended. */
function forgetNewcomer({newcomers}: Proposals, member: MemberId): void {
  const index = newcomers.indexOf(member);
  if (index >= 0) newcomers.splice(index, 1);
}

/** A `pull` makes its receiver request the entries that it lacks. */
function announceVersion(context: OwnershipContext, to: MemberId): void {
  send(context, to, {kind: 'pull', after: context.state.map.version});
}

/**
 * Returns whether other members have joined just before this one, and more of
 * them may append their changes at the same time.
 */
function isForming({state, at}: OwnershipContext): boolean {
  const {phase, joinedAt, proposals} = state;
  if (proposals.newcomers.length === 0) return false;
  return phase === 'joining' || at.monotonic - joinedAt < FORMING_MS;
}

/**
 * Lists the members to ask: the first newcomers while the fleet forms, as older
 * members may have ended with the predecessor of this daemon, and otherwise
 * those that may act as coordinator. One of them asks only those before it.
 */
function committersOf(context: OwnershipContext): MemberId[] {
  const {state} = context;
  const {map, self, settings, proposals} = state;
  const newcomers = proposals.newcomers.filter(id => map.members.has(id));
  const candidates =
    isForming(context) && newcomers.length > 0
      ? newcomers
      : currentRanks(state).slice(0, MAX_COMMITTERS);
  const own = candidates.indexOf(self);
  const before = own < 0 ? candidates : candidates.slice(0, own);
  return before.filter(id => hostOf(id) !== settings.host);
}

function isMemberChange(change: Change): change is MemberChange {
  return change.kind === 'joined' || change.kind === 'offered';
}

/** Returns whether a change has nothing left to do. */
function isInEffect(map: ClusterMap, change: Proposal): boolean {
  if (change.kind === 'released') {
    return releasableSlices(map, change).length === 0;
  }
  const member = map.members.get(change.member);
  if (change.kind === 'joined') return member !== undefined;
  const offer = member?.offer ?? null;
  return (
    offer !== null &&
    offer.service === change.service &&
    offer.instance === change.instance &&
    offer.slots === change.slots &&
    offer.leaving === change.leaving
  );
}

/**
 * Returns the slices of a release that still move away from its member under
 * the generations that it drained.
 */
function releasableSlices(
  map: ClusterMap,
  {member, service: name, slices, generations}: ProposedRelease,
): Slice[] {
  const service = map.services.get(name);
  const owner = map.members.get(member)?.index;
  if (service === undefined || owner === undefined) return [];
  return slices.filter(
    (slice, index) =>
      service.owner[slice] === owner &&
      service.generation[slice] === generations[index] &&
      service.moves.has(slice),
  );
}

/** Returns a change as it is sent to another member; null if it may not be. */
function proposalOf(state: OwnershipState, change: Change): Proposal | null {
  if (isMemberChange(change)) return change;
  if (change.kind !== 'released') return null;
  const generation = state.map.services.get(change.service)?.generation ?? [];
  const generations = change.slices.map(slice => generation[slice]);
  return {...change, member: state.self, generations};
}

/** Another member may have ended the predecessor since the request was sent. */
function withKnownPredecessor(
  map: ClusterMap,
  change: MemberChange,
): MemberChange {
  if (change.kind !== 'joined' || change.replaces === null) return change;
  return map.members.has(change.replaces)
    ? change
    : {...change, replaces: null};
}
