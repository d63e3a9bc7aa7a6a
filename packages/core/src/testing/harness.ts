/**
 * @fileoverview Test harness for ownership: a daemon that starts from given log
 * entries and a store that accepts every write.
 */

import {makeMemberId} from '../ids/logic.js';
import type {MemberId, Slice, Version} from '../ids/types.js';
import {toLoggedEntry} from '../log/logic.js';
import type {Change} from '../log/types.js';
import type {Announcement, Effect, Event} from '../loop/types.js';
import type {Message} from '../messages/types.js';
import {OWNERSHIP} from '../ownership/definition.js';
import {createOwnershipState} from '../ownership/state.js';
import type {DispatchPermission} from '../ownership/types.js';
import {countHeldSlices} from '../grants/holds.js';
import {grantFiguresOf} from '../grants/view.js';
import type {GrantFigures} from '../grants/view.js';
import {mayDispatch} from '../ownership/view.js';
import {mergeTuning} from '../settings/logic.js';
import type {StoreCall, StoreReply} from '../store/types.js';

/** Duration of a lease. */
export const LEASE_MS = 2000;
/** Margin for clocks that run at different rates. */
export const MARGIN_MS = 150;
/** Time without an announcement after which a server counts as lost. */
export const ANNOUNCEMENT_TTL_MS = 3000;
/** Time between two ticks. */
export const TICK_MS = 100;
/** The keyed service of the tests. */
export const FINDER = 'finder' as never;
/** Change to a configuration in which that service has two slices. */
export const CONFIGURED: Change = {
  kind: 'configured',
  number: 1,
  document: JSON.stringify({
    services: [{name: 'finder', division: {kind: 'keyed', slices: 2}}],
    limits: {drainMs: 1000, maxMovingSlices: 2},
  }),
};
/** The daemon under test, the second process on its host. */
export const SELF = makeMemberId('a' as never, '2');
/** The member that sends the log entries. */
const OTHER = 'b#1' as MemberId;
/** Matches the kind of a change in the JSON text of its entry or proposal. */
const CHANGE_KIND = /(?:^|"change":)\{"kind":"(\w+)"/;

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

/**
 * Builds the change that registers a member's local backend server.
 *
 * @param member - The member.
 * @returns The change.
 */
export function offered(member: MemberId): Change {
  const instance = `server of ${member}` as never;
  const common = {service: FINDER, instance, slots: 1, leaving: false};
  return {kind: 'offered', member, ...common};
}

/** A daemon with given log entries, and a record of what it commits. */
export class OwnershipHarness {
  private readonly state = createOwnershipState({
    workspace: 'w' as never,
    host: 'a' as never,
    zone: 'z' as never,
    address: '127.0.0.1:1' as never,
    incarnation: '2',
    tuning: mergeTuning({
      membership: {soleProcess: true},
      leases: {leaseMs: LEASE_MS, marginMs: MARGIN_MS},
      announcements: {ttlMs: ANNOUNCEMENT_TTL_MS},
    }),
  });
  /** Current time by both clocks, in milliseconds. */
  now = 1000;
  /**
   * Time at which the daemon first wrote each kind of change, or asked another
   * member to.
   */
  readonly firstWrittenAt = new Map<Change['kind'], number>();
  /** JSON text of these first changes. */
  readonly firstWrittenText = new Map<Change['kind'], string>();
  private revision = 100;

  /** Effects of applying the given entries and of the first two ticks. */
  readonly initialEffects: readonly Effect[];

  /**
   * @param changes - Changes of the log entries, oldest first.
   * @param isReady - Whether the daemon starts with a lease and with the
   *   announcement of its server.
   */
  constructor(changes: readonly Change[], isReady = false) {
    if (isReady) {
      this.renewLease();
      this.state.announcement = this.announcementOf(SELF);
    }
    this.initialEffects = [
      ...this.receiveEntries(changes),
      ...this.tick(),
      ...this.tick(),
    ];
  }

  /**
   * Sends the daemon further entries from another member.
   *
   * @param changes - Changes of the entries.
   * @returns The effects.
   */
  receiveEntries(changes: readonly Change[]): Effect[] {
    const message = entriesMessage(changes, this.state.map.version);
    return this.handle({kind: 'messageReceived', from: OTHER, message});
  }

  /** Gives the daemon a lease that starts now. */
  renewLease(): void {
    this.state.lease.rowLeaseStart = {monotonic: this.now, wall: this.now};
  }

  /**
   * Asks whether the daemon may dispatch work of a slice now.
   *
   * @param slice - The slice.
   * @returns The permission.
   */
  permission(slice: number): DispatchPermission {
    const at = {monotonic: this.now, wall: this.now};
    return mayDispatch(this.state, FINDER, slice as Slice, at);
  }

  /** @returns The figures about its slices and grants. */
  grantFigures(): GrantFigures {
    return grantFiguresOf(this.state);
  }

  /** @returns The number of slices that the server may hold. */
  heldSlices(): number {
    return countHeldSlices(this.state.grants, this.now);
  }

  /** Makes the daemon commit its removal from the workspace. */
  startEnding(): void {
    this.state.phase = 'ending';
  }

  /**
   * Handles a tick.
   *
   * @returns The effects.
   */
  tick(): Effect[] {
    return this.handle({kind: 'ticked'});
  }

  /**
   * Builds the announcement of a member's local backend server.
   *
   * @param member - The member.
   * @returns The announcement that matches `offered`.
   */
  announcementOf(member: MemberId): Announcement {
    return {
      instance: `server of ${member}` as never,
      service: FINDER,
      address: '127.0.0.1:2' as never,
      slots: 1,
      connections: 4,
      checksGrants: true,
      leaving: false,
      coldStart: null,
    };
  }

  /**
   * Lets time pass until the daemon writes a change, or asks another member to.
   *
   * @param kind - Kind of the change.
   * @param maxMs - Maximum time, in milliseconds.
   * @returns The time it took, in milliseconds, or null.
   */
  waitForChange(kind: Change['kind'], maxMs: number): number | null {
    const startedAt = this.now;
    for (let waited = 0; waited <= maxMs; waited += TICK_MS) {
      this.tick();
      const at = this.firstWrittenAt.get(kind);
      if (at !== undefined) return Math.max(0, at - startedAt);
      this.now += TICK_MS;
    }
    return null;
  }

  /**
   * Handles an event. The store accepts every write and finds no rows.
   *
   * @param event - The event.
   * @returns The effects, including those of the store's replies.
   */
  handle(event: Event): Effect[] {
    const effects = this.reduce(event);
    for (const text of effects.flatMap(proposedText)) this.recordChange(text);
    for (const {call, request} of effects.filter(isStoreCall)) {
      this.revision += 1;
      this.recordWrite(request);
      const {revision} = this;
      const reply: StoreReply =
        request.kind === 'commit'
          ? {kind: 'committed', revision}
          : {kind: 'rows', rows: []};
      effects.push(...this.handle({kind: 'storeReplied', call, reply}));
    }
    return effects;
  }

  private recordWrite(request: StoreCall): void {
    if (request.kind !== 'commit') return;
    for (const {value} of request.transaction.puts) {
      this.recordChange(value ?? '');
    }
  }

  private recordChange(text: string): void {
    const kind = CHANGE_KIND.exec(text)?.[1] as Change['kind'] | undefined;
    if (kind === undefined || this.firstWrittenAt.has(kind)) return;
    this.firstWrittenAt.set(kind, this.now);
    this.firstWrittenText.set(kind, text);
  }

  private reduce(event: Event): Effect[] {
    const at = {monotonic: this.now, wall: this.now};
    const work = {
      inFlight: () => 0,
      inFlightTotal: () => 0,
      takeBusyMs: () => new Map(),
      meanRunMs: () => 0,
    };
    return OWNERSHIP.reduce(this.state, {at, random: 0.5, event}, {work});
  }
}

type StoreCallEffect = Extract<Effect, {kind: 'callStore'}>;

function isStoreCall(effect: Effect): effect is StoreCallEffect {
  return effect.kind === 'callStore';
}

function proposedText(effect: Effect): string[] {
  if (effect.kind !== 'send') return [];
  const {message} = effect;
  return message.kind === 'propose' ? [message.change] : [];
}

function entriesMessage(changes: readonly Change[], after = 0): Message {
  const entries = changes.map((change, index) => {
    const version = (after + index + 1) as Version;
    const entry = {version, writeId: '' as never, by: '', at: 0, change};
    return toLoggedEntry({entry, revision: version});
  });
  const version = (after + entries.length) as Version;
  return {kind: 'entries', entries, version};
}
