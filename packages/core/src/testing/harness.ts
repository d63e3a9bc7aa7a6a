/** @fileoverview A daemon with a given history, for tests of ownership. */

import {makeMemberId} from '../ids/logic.js';
import type {MemberId, Version} from '../ids/types.js';
import {toLoggedEntry} from '../log/logic.js';
import type {Change} from '../log/types.js';
import type {Announcement, Effect, Event} from '../loop/types.js';
import type {Message} from '../messages/types.js';
import {OWNERSHIP} from '../ownership/definition.js';
import {createOwnershipState} from '../ownership/state.js';
import {mergeTuning} from '../settings/logic.js';
import type {StoreCall, StoreReply} from '../store/types.js';

/** Life of a lease. */
export const LEASE_MS = 2000;
/** Allowance for clocks. */
export const MARGIN_MS = 150;
/** Silence after which a server counts as gone. */
export const ANNOUNCEMENT_TTL_MS = 3000;
/** Time between two ticks. */
export const TICK_MS = 100;
/** The divided service of the history. */
export const FINDER = 'finder' as never;
/** A configuration in which that service has two slices. */
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
/** Sender of the history. */
const OTHER = 'b#1' as MemberId;
/** The kind of a change in the text of its entry. */
const KIND = /"change":\{"kind":"(\w+)"/;

/**
 * Describes a member that joined.
 *
 * @param member - The member.
 * @param replaces - The earlier process on its host, or null.
 * @returns The change.
 */
export function joined(member: MemberId, replaces: MemberId | null): Change {
  const zone = 'z' as never;
  const address = '127.0.0.1:1' as never;
  return {kind: 'joined', member, zone, address, operators: null, replaces};
}

/**
 * Describes a member whose server announced itself.
 *
 * @param member - The member.
 * @returns The change.
 */
export function offered(member: MemberId): Change {
  const instance = `server of ${member}` as never;
  const common = {service: FINDER, instance, slots: 1, leaving: false};
  return {kind: 'offered', member, ...common};
}

/** A daemon whose log holds some changes, and what it commits from then on. */
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
  /** Monotonic time. */
  now = 1000;
  /** Monotonic time at which each kind of change was first written. */
  readonly firstWrittenAt = new Map<Change['kind'], number>();
  private revision = 100;

  /** Effects of taking the history in. */
  readonly initialEffects: readonly Effect[];

  /**
   * @param changes - Entries of the log, the oldest first.
   * @param serves - Whether it holds a lease and its server is announced.
   */
  constructor(changes: readonly Change[], serves = false) {
    if (serves) {
      this.renewLease();
      this.state.announcement = this.announcementOf(SELF);
    }
    this.initialEffects = this.receiveEntries(changes);
    this.handle({kind: 'ticked'});
    this.handle({kind: 'ticked'});
  }

  /**
   * Lets the daemon learn further entries from another.
   *
   * @param changes - The entries.
   * @returns Effects.
   */
  receiveEntries(changes: readonly Change[]): Effect[] {
    const message = messageOf(changes, this.state.map.version);
    return this.handle({kind: 'received', from: OTHER, message});
  }

  /** Gives the daemon a lease that begins now. */
  renewLease(): void {
    this.state.lease.touchedAt = {monotonic: this.now, wall: this.now};
  }

  /** Has the daemon commit its own end. */
  startEnding(): void {
    this.state.phase = 'ending';
  }

  /**
   * Lets a tick happen.
   *
   * @returns Effects.
   */
  tick(): Effect[] {
    return this.handle({kind: 'ticked'});
  }

  /**
   * Describes what the server beside a member announces.
   *
   * @param member - The member.
   * @returns The announcement that belongs to `offered`.
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
   * Waits for a change to be written.
   *
   * @param kind - Its kind.
   * @param mostMs - Longest wait.
   * @returns How long it took, or null.
   */
  waitForChange(kind: Change['kind'], mostMs: number): number | null {
    const begun = this.now;
    for (let waited = 0; waited <= mostMs; waited += TICK_MS) {
      this.tick();
      const at = this.firstWrittenAt.get(kind);
      if (at !== undefined) return Math.max(0, at - begun);
      this.now += TICK_MS;
    }
    return null;
  }

  /**
   * Lets an event happen; the store finds nothing and takes every write.
   *
   * @param event - The event.
   * @returns Effects.
   */
  handle(event: Event): Effect[] {
    const effects = this.feed(event);
    for (const {call, request} of effects.filter(isCall)) {
      this.revision += 1;
      this.noteWritten(request);
      const {revision} = this;
      const reply: StoreReply =
        request.kind === 'commit'
          ? {kind: 'committed', revision}
          : {kind: 'rows', rows: []};
      effects.push(...this.handle({kind: 'storeReplied', call, reply}));
    }
    return effects;
  }

  private noteWritten(request: StoreCall): void {
    if (request.kind !== 'commit') return;
    for (const {value} of request.transaction.puts) {
      const kind = KIND.exec(value ?? '')?.[1] as Change['kind'] | undefined;
      if (kind === undefined || this.firstWrittenAt.has(kind)) continue;
      this.firstWrittenAt.set(kind, this.now);
    }
  }

  private feed(event: Event): Effect[] {
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

type Call = Extract<Effect, {kind: 'callStore'}>;

function isCall(effect: Effect): effect is Call {
  return effect.kind === 'callStore';
}

function messageOf(changes: readonly Change[], after = 0): Message {
  const entries = changes.map((change, index) => {
    const version = (after + index + 1) as Version;
    const entry = {version, writeId: '' as never, by: '', at: 0, change};
    return toLoggedEntry({entry, revision: version});
  });
  const version = (after + entries.length) as Version;
  return {kind: 'entries', entries, version};
}
