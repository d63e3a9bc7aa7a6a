/** @fileoverview Steps of the model. */

import type {Change} from '@jackdawfall/core';

import {copyOf} from './copies.js';
import {
  LEASE_MS,
  MARGIN_MS,
  SLICES,
  TARGETS,
  announcementOf,
  commit,
  createProcess,
  handle,
  handleThenTick,
  initialChanges,
  joined,
  memberOf,
  moving,
  receiveLog,
  released,
  renewLease,
} from './daemon.js';
import {findViolation} from './invariants.js';
import {
  START_MS,
  carryOut,
  createHeldSlices,
  endWork,
  holdEnd,
  mayArrive,
} from './server.js';
import type {
  Bounds,
  CallStep,
  OtherStep,
  ServerCall,
  ServerEffect,
  Step,
  World,
} from './types.js';

const TICK_MS = 50;
/** Times after which the platform's adapter gives up its calls. */
const GRANT_TIMEOUT_MS = 450;
const RELEASE_TIMEOUT_MS = 1200;

/**
 * Creates the world before the first step: the daemon owns all slices, and the
 * server has confirmed their grants.
 *
 * @param bounds - Bounds of the search.
 * @returns The world.
 */
export function createWorld(bounds: Bounds): World {
  const world: World = {
    now: START_MS,
    daemon: createProcess(1),
    process: 1,
    running: true,
    leaseStart: START_MS,
    renewsLease: true,
    log: [],
    calls: [],
    bounds,
    nextCall: 1,
    instance: 1,
    held: createHeldSlices(SLICES),
    freeFrom: Array.from({length: SLICES}, () => Infinity),
    violation: null,
  };
  world.daemon.announcement = announcementOf(1);
  commitAll(world, initialChanges());
  for (const {number} of [...world.calls]) {
    perform(world, {kind: 'exchange', call: number});
  }
  world.calls = [];
  return world;
}

/**
 * Lists the steps that are possible.
 *
 * @param world - The world.
 * @returns The steps.
 */
export function possibleSteps(world: World): Step[] {
  const {bounds} = world;
  const calls = bounds.calls.flatMap(kind =>
    world.calls
      .filter(call => isCallStepPossible(world, kind, call))
      .map(({number}): Step => ({kind, call: number})),
  );
  const others = bounds.others
    .filter(kind => isPossible(world, kind))
    .map((kind): Step => ({kind}));
  const waits = bounds.waitsMs.map((ms): Step => ({kind: 'wait', ms}));
  return [...calls, ...others, ...waits];
}

function isCallStepPossible(
  world: World,
  kind: CallStep,
  call: ServerCall,
): boolean {
  const isGrant = call.ttlMs !== null;
  switch (kind) {
    case 'exchange':
      return call.awaited && mayArrive(world, call);
    case 'misdirect':
      return (
        call.awaited &&
        call.arrivedAt === null &&
        call.instance !== announcementOf(world.instance).instance
      );
    case 'arrive':
      return mayArrive(world, call);
    case 'defer':
      return isGrant && mayArrive(world, call);
    case 'carryOut':
      return call.arrivedAt !== null && !call.done;
    case 'respond':
      return call.awaited && call.done;
    case 'repeat':
      return isGrant && call.awaited && !call.done;
    case 'fail':
      return isGrant && call.awaited && !call.done;
    case 'drop':
      return isGrant && call.awaited && call.arrivedAt === null;
  }
}

function isPossible(world: World, kind: OtherStep): boolean {
  const {daemon, running, renewsLease} = world;
  const service = [...daemon.map.services.values()][0];
  const isMoving = service.moves.has(0 as never);
  const {announcement, map, self} = daemon;
  const {instance} = announcementOf(world.instance);
  const isAnnounced = announcement?.instance === instance;
  const isAwaited = map.members.get(self)?.awaited === true;
  const mayMove = running && !isAwaited && owns(world, 0) && !isMoving;
  switch (kind) {
    case 'move':
      return mayMove;
    case 'moveAll':
      return mayMove && owns(world, 1);
    case 'cancel':
      return running && isMoving && map.members.has(TARGETS[0]);
    case 'return':
      return running && !owns(world, 0) && owns(world, 1);
    case 'restart':
      return world.instance === 1;
    case 'refuse':
      return running && announcement !== null && !isAnnounced;
    case 'presumeEnded':
      return running && isAnnounced;
    case 'silence':
      return running && announcement !== null;
    case 'announce':
      return running && !isAnnounced;
    case 'replace':
      return running && renewsLease && world.process === 1;
    case 'stopRenewals':
      return running && renewsLease;
    case 'resumeRenewals':
      return running && !renewsLease && world.now < world.leaseStart + LEASE_MS;
    case 'end':
      return running && daemon.phase === 'joined';
  }
}

/**
 * Performs a step.
 *
 * @param before - The world, which isn't changed.
 * @param step - The step.
 * @returns The world after it.
 */
export function next(before: World, step: Step): World {
  const world = copyOf(before);
  perform(world, step);
  return world;
}

function perform(world: World, step: Step): void {
  if ('call' in step) performOnCall(world, step.kind, callOf(world, step.call));
  else if ('ms' in step) {
    for (let left = step.ms; left > 0; left -= TICK_MS) {
      pass(world, Math.min(left, TICK_MS));
    }
  } else performOther(world, step.kind);
  check(world);
}

function performOnCall(world: World, kind: CallStep, call: ServerCall): void {
  switch (kind) {
    case 'exchange':
    case 'misdirect':
      call.arrivedAt = world.now;
      carryOut(world, call);
      respond(world, call);
      return;
    case 'arrive':
      call.arrivedAt = world.now;
      carryOut(world, call);
      return;
    case 'defer':
      call.arrivedAt = world.now;
      return;
    case 'carryOut':
      carryOut(world, call);
      call.awaited = false;
      return;
    case 'respond':
      respond(world, call);
      return;
    case 'repeat':
      call.awaited = false;
      tell(world, call.success);
      return;
    case 'fail':
      fail(world, call);
      return;
    case 'drop':
      drop(world, call);
      return;
  }
}

function respond(world: World, call: ServerCall): void {
  if (call.ttlMs === null) endWork(world, call);
  if (call.refused) {
    fail(world, call);
    return;
  }
  call.awaited = false;
  tell(world, call.success);
}

function drop(world: World, call: ServerCall): void {
  world.calls = world.calls.filter(each => each !== call);
  const {failure} = call;
  if (failure?.kind !== 'sliceGrantFailed') return;
  tell(world, {...failure, written: false});
}

function fail(world: World, call: ServerCall): void {
  call.awaited = false;
  if (call.failure !== null) tell(world, call.failure);
}

function performOther(world: World, kind: OtherStep): void {
  const {members} = world.daemon.map;
  const [first, second] = TARGETS;
  const target = members.has(first) ? first : second;
  switch (kind) {
    case 'move':
      commitAll(world, [moving(target, 1)]);
      return;
    case 'moveAll':
      commitAll(world, [moving(target, SLICES)]);
      return;
    case 'cancel':
      commitAll(world, [{kind: 'ended', members: [first]}]);
      return;
    case 'return':
      commitAll(world, [moving(world.daemon.self, 1), released()]);
      return;
    case 'restart':
      world.instance += 1;
      world.held = createHeldSlices(SLICES);
      for (const call of world.calls.splice(0)) {
        if (call.awaited) fail(world, call);
      }
      return;
    case 'refuse':
    case 'presumeEnded':
      loseServer(world, true);
      return;
    case 'silence':
      loseServer(world, false);
      return;
    case 'announce': {
      const announcement = announcementOf(world.instance);
      tell(world, {kind: 'announcementReceived', announcement});
      return;
    }
    case 'replace':
      replaceDaemon(world);
      return;
    case 'stopRenewals':
      world.renewsLease = false;
      return;
    case 'resumeRenewals':
      world.renewsLease = true;
      return;
    case 'end':
      world.daemon.phase = 'ending';
      commitAll(world, []);
      return;
  }
}

function commitAll(world: World, changes: readonly Change[]): void {
  for (const change of changes) send(world, commit(world, change));
  send(world, handle(world, {kind: 'ticked'}));
}

function loseServer(world: World, processEnded: boolean): void {
  const {announcement} = world.daemon;
  if (announcement === null) return;
  const {instance} = announcement;
  for (const call of world.calls) call.awaited = false;
  tell(world, {kind: 'announcementExpired', instance, processEnded});
}

function replaceDaemon(world: World): void {
  const predecessor = memberOf(world.process);
  for (const call of world.calls) call.awaited = false;
  world.process += 1;
  world.daemon = createProcess(world.process);
  world.leaseStart = world.now;
  renewLease(world);
  send(world, receiveLog(world));
  commitAll(world, [joined(memberOf(world.process), predecessor)]);
}

/** Lets time pass, and a tick come after it. */
function pass(world: World, ms: number): void {
  world.now += ms;
  for (const call of world.calls) {
    if (!call.awaited || world.now - call.sentAt < call.timeoutMs) continue;
    fail(world, call);
  }
  send(world, handle(world, {kind: 'ticked'}));
  world.calls = world.calls.filter(call => !isOver(world, call));
  check(world);
}

/** Returns whether a call can no longer change anything. */
function isOver({now}: World, call: ServerCall): boolean {
  if (call.awaited) return false;
  if (call.arrivedAt === null) return now > call.arrivesBy;
  return call.done || holdEnd(call, call.arrivedAt) <= now;
}

function tell(world: World, event: Parameters<typeof handle>[1]): void {
  send(world, handleThenTick(world, event));
}

function send(world: World, effects: readonly ServerEffect[]): void {
  for (const effect of effects) {
    for (const grant of effect.grants) {
      const number = world.nextCall++;
      world.calls.push(createCall(world, number, effect, grant));
    }
  }
}

function createCall(
  {now, bounds, daemon}: World,
  number: number,
  effect: ServerEffect,
  grant: ServerEffect['grants'][number],
): ServerCall {
  const state = {arrivedAt: null, done: false, refused: false, awaited: true};
  const instance = daemon.announcement?.instance ?? null;
  const common = {number, grant, instance, sentAt: now, ...state};
  if (effect.kind === 'releaseSlices') {
    const success = {...effect, grant, handover: null};
    return {
      ...common,
      timeoutMs: RELEASE_TIMEOUT_MS,
      arrivesBy: now + (bounds.maxDelayMs ?? RELEASE_TIMEOUT_MS),
      ttlMs: null,
      success: {...success, kind: 'slicesReleased'},
      failure: null,
    };
  }
  const {timeoutMs = GRANT_TIMEOUT_MS} = effect as typeof effect & {
    timeoutMs?: number;
  };
  return {
    ...common,
    timeoutMs,
    arrivesBy: now + (bounds.maxDelayMs ?? timeoutMs),
    ttlMs: effect.until.monotonic - now,
    success: {...effect, grant, kind: 'slicesGranted'},
    failure: {...effect, grant, written: true, kind: 'sliceGrantFailed'},
  };
}

function callOf(world: World, number: number): ServerCall {
  const call = world.calls.find(each => each.number === number);
  if (call === undefined) throw new Error(`no call ${number}`);
  return call;
}

function owns({daemon}: World, slice: number): boolean {
  const {members, services} = daemon.map;
  const index = members.get(daemon.self)?.index;
  return [...services.values()][0].owner[slice] === index;
}

function check(world: World): void {
  updateOwners(world);
  world.violation ??= findViolation(world);
}

/** Records from when on other servers may hold each slice. */
function updateOwners(world: World): void {
  const {daemon, now} = world;
  if (!daemon.map.members.has(memberOf(world.process))) world.running = false;
  const evicted = world.renewsLease
    ? Infinity
    : world.leaseStart + LEASE_MS + MARGIN_MS;
  world.freeFrom = world.freeFrom.map((from, slice) => {
    if (world.running && owns(world, slice)) return evicted;
    return Math.min(from, now, evicted);
  });
}
