/**
 * @fileoverview The daemon of the model: the reducer of ownership with a store
 * that accepts every log entry, and a lease that is extended without messages.
 */

import type {
  Announcement,
  Change,
  Effect,
  Event,
  LoggedEntry,
  MemberId,
  OwnershipState,
  StoreCall,
  StoreReply,
} from '@jackdawfall/core';
import {
  OWNERSHIP,
  createOwnershipState,
  makeMemberId,
  mergeTuning,
} from '@jackdawfall/core';

import type {ServerEffect, World} from './types.js';

/** Duration of a lease. */
export const LEASE_MS = 2000;
/** Margin for clocks that run at different rates. */
export const MARGIN_MS = 150;
/** Number of slices, all of which the daemon owns at the start. */
export const SLICES = 2;
/** Interval at which the lease is extended. */
const RENEW_MS = 500;
/** All others rank before its members, so one of them commits its releases. */
const HOST = 'e' as never;
const SERVICE = 'finder' as never;
/** The member that moves are made to, and its stand-in after its removal. */
export const TARGETS = ['b#1', 'c#1'] as MemberId[];
/** The member that sends log entries and extends the lease. */
const GRANTOR = 'd#1' as MemberId;
const IDLE = {
  inFlight: () => 0,
  inFlightTotal: () => 0,
  takeBusyMs: () => new Map<never, number>(),
  meanRunMs: () => 0,
};

const CONFIGURED: Change = {
  kind: 'configured',
  number: 1,
  document: JSON.stringify({
    services: [{name: SERVICE, division: {kind: 'keyed', slices: SLICES}}],
    limits: {drainMs: 1000, maxMovingSlices: SLICES},
  }),
};

/**
 * Returns the id of a process of the daemon.
 *
 * @param process - Number of the process.
 * @returns The id.
 */
export function memberOf(process: number): MemberId {
  return makeMemberId(HOST, String(process));
}

/**
 * Lists the changes before the first step: the daemon owns all slices.
 *
 * @returns The changes.
 */
export function initialChanges(): Change[] {
  const self = memberOf(1);
  const [standby] = TARGETS;
  const runs = [{first: 0 as never, count: SLICES, owner: self, standby}];
  const others = [...TARGETS, GRANTOR];
  return [
    joined(self, null),
    CONFIGURED,
    offered(self, 1),
    {kind: 'placed', service: SERVICE, slices: SLICES, runs},
    ...others.map(member => joined(member, null)),
    ...TARGETS.map(member => offered(member, 1)),
  ];
}

/**
 * Builds the change of a member that joins.
 *
 * @param member - The member.
 * @param replaces - Its predecessor on the host, or null.
 * @returns The change.
 */
export function joined(member: MemberId, replaces: MemberId | null): Change {
  const zone = 'z' as never;
  const address = '127.0.0.1:1' as never;
  return {kind: 'joined', member, zone, address, operators: null, replaces};
}

function offered(member: MemberId, instance: number): Change {
  const {service, slots, leaving} = announcementOf(instance);
  const name = instanceName(member, instance);
  return {kind: 'offered', member, service, instance: name, slots, leaving};
}

/**
 * Builds the change that moves the first slices.
 *
 * @param to - The next owner.
 * @param count - Number of the slices.
 * @returns The change.
 */
export function moving(to: MemberId, count: number): Change {
  const moves = [{first: 0 as never, count, to}];
  return {kind: 'moving', service: SERVICE, moves};
}

/**
 * Builds the change of the owner that releases the moving slice.
 *
 * @returns The change.
 */
export function released(): Change {
  const slices = [0 as never];
  return {kind: 'released', service: SERVICE, slices, handovers: []};
}

/**
 * Builds the announcement of the daemon's server.
 *
 * @param instance - Number of its instance.
 * @returns The announcement.
 */
export function announcementOf(instance: number): Announcement {
  return {
    instance: instanceName(memberOf(1), instance),
    service: SERVICE,
    address: '127.0.0.1:2' as never,
    slots: 1,
    connections: 4,
    checksGrants: true,
    leaving: false,
    coldStart: null,
  };
}

function instanceName(member: MemberId, instance: number): never {
  return `server ${instance} of ${member}` as never;
}

/**
 * Creates the state of a process that hasn't read the log.
 *
 * @param process - Its number.
 * @returns The state.
 */
export function createProcess(process: number): OwnershipState {
  const state = createOwnershipState({
    workspace: 'w' as never,
    host: HOST,
    zone: 'z' as never,
    address: '127.0.0.1:1' as never,
    incarnation: String(process),
    tuning: mergeTuning({
      membership: {soleProcess: true},
      leases: {leaseMs: LEASE_MS, marginMs: MARGIN_MS},
    }),
  });
  // Moves and placements are steps of the model.
  state.nextRankCheckAt = Infinity;
  return state;
}

/**
 * Extends the lease if that is due.
 *
 * @param world - The world.
 */
export function renewLease(world: World): void {
  const {daemon, now} = world;
  if (world.renewsLease && now - world.leaseStart >= RENEW_MS) {
    world.leaseStart = now;
  }
  const {lease} = daemon;
  const start = {monotonic: world.leaseStart, wall: world.leaseStart};
  lease.grantors = [GRANTOR];
  lease.grantedRenewals.set(GRANTOR, start);
  lease.lastReplyAt = now;
  lease.lastGrantedAt = now;
  lease.nextRenewalAt = Infinity;
  lease.nextRowWriteAt = Infinity;
}

/**
 * Lets the daemon apply a log entry of another member.
 *
 * @param world - The world.
 * @param change - The change of the entry.
 * @returns Effects for the server.
 */
export function commit(world: World, change: Change): ServerEffect[] {
  appendToLog(world, change);
  return world.running ? receiveLog(world) : [];
}

function appendToLog(world: World, change: Change): void {
  const version = (world.log.length + 1) as never;
  const entry = {version, writeId: '', by: '', at: 0, change};
  appendText(world, JSON.stringify(entry));
}

function appendText(world: World, text: string): void {
  const version = world.log.length + 1;
  world.log = [...world.log, {version, revision: version, text} as LoggedEntry];
}

/**
 * Lets the daemon receive the log entries that it doesn't have.
 *
 * @param world - The world.
 * @returns Effects for the server.
 */
export function receiveLog(world: World): ServerEffect[] {
  const version = world.log.length as never;
  const entries = world.log.slice(world.daemon.map.version);
  if (entries.length === 0) return [];
  const message = {kind: 'entries', entries, version} as const;
  return handle(world, {kind: 'messageReceived', from: GRANTOR, message});
}

/**
 * Lets the daemon handle an event, and a tick after it.
 *
 * @param world - The world.
 * @param event - The event.
 * @returns Effects for the server.
 */
export function handleThenTick(world: World, event: Event): ServerEffect[] {
  return [...handle(world, event), ...handle(world, {kind: 'ticked'})];
}

/**
 * Lets the daemon handle an event.
 *
 * @param world - The world.
 * @param event - The event.
 * @returns Effects for the server.
 */
export function handle(world: World, event: Event): ServerEffect[] {
  if (!world.running) return [];
  renewLease(world);
  const {daemon, now} = world;
  const at = {monotonic: now, wall: now};
  const work = IDLE;
  const effects = OWNERSHIP.reduce(daemon, {at, random: 0.5, event}, {work});
  daemon.recentEntries = [];
  return effects.flatMap(effect => perform(world, effect));
}

function perform(world: World, effect: Effect): ServerEffect[] {
  switch (effect.kind) {
    case 'grantSlices':
    case 'releaseSlices':
      return [effect];
    case 'callStore': {
      const {call, request} = effect;
      const reply = replyOf(world, request);
      return handle(world, {kind: 'storeReplied', call, reply});
    }
    case 'send': {
      const {message} = effect;
      if (message.kind !== 'propose') return [];
      return commit(world, JSON.parse(message.change) as Change);
    }
    case 'panic':
      throw new Error(`${effect.invariant}: ${effect.detail}`);
    case 'startTimer':
    case 'sendDispatch':
    case 'run':
    case 'cancelRun':
    case 'replayResponse':
    case 'discardAttempt':
    case 'relayResponse':
    case 'failRequest':
    case 'log':
    case 'recordDuration':
    case 'reply':
    case 'exitProcess':
      return [];
  }
}

/** The store finds no rows, and takes writes that append to the log. */
function replyOf(world: World, request: StoreCall): StoreReply {
  if (request.kind !== 'commit') return {kind: 'rows', rows: []};
  const logged = request.transaction.puts.find(({key}) =>
    key.includes('/log/'),
  );
  if (logged === undefined) return {kind: 'refused', detail: 'row'};
  appendText(world, logged.value ?? '');
  return {kind: 'committed', revision: world.log.length};
}
