/** @fileoverview State of ownership in one daemon, and the context of a step. */

import type {Instant} from '../clock/types.js';
import type {AuditEntry} from '../commands/types.js';
import type {
  Announcement,
  Command,
  Effect,
  SourcedConfiguration,
} from '../loop/types.js';
import type {
  Address,
  CallId,
  HostName,
  MemberId,
  Slice,
  ServiceName,
  Version,
  WorkspaceName,
  WriteId,
  ZoneName,
} from '../ids/types.js';
import {createBalance} from '../balance/state.js';
import type {Balance} from '../balance/types.js';
import {createGrants} from '../grants/state.js';
import type {Grants} from '../grants/types.js';
import {memberOf} from '../ids/logic.js';
import type {Journal, Sync} from '../journal/types.js';
import {createJournal, createSync} from '../journal/state.js';
import type {Lease, RowWrite, Ward} from '../leases/types.js';
import {createLease} from '../leases/state.js';
import type {Keys} from '../log/logic.js';
import {keysOf} from '../log/logic.js';
import type {Change, Committed} from '../log/types.js';
import type {ClusterMap} from '../map/types.js';
import {createMap} from '../map/state.js';
import type {Ring} from '../membership/ring.js';
import {EMPTY_RING, ranksOf, ringOf} from '../membership/ring.js';
import type {Ending} from '../membership/types.js';
import type {Tuning} from '../settings/defaults.js';
import {createSnapshots} from '../snapshots/state.js';
import type {SnapshotPointer, Snapshots} from '../snapshots/types.js';
import type {WorkView} from './types.js';

/** A rule of the ownership protocol; see docs/design/ownership.md. */
export type Rule = 'R1' | 'R2' | 'R3' | 'R4' | 'R5' | 'R6' | 'R8' | 'R9';

/** What a daemon knows from its settings. */
export interface OwnershipSettings {
  readonly workspace: WorkspaceName;
  readonly host: HostName;
  readonly zone: ZoneName;
  /** Address at which other daemons reach this one. */
  readonly address: Address;
  /** Its operators port, named in the log so that operators can ask it. */
  readonly operators?: Address;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  readonly tuning: Tuning;
  /** Rules left out; only tests pass this. */
  readonly rulesOff?: ReadonlySet<Rule>;
}

/** A search of the audit trail, from its newest entries downwards. */
export interface AuditSearch {
  /** Entries still wanted. */
  readonly wanted: number;
  /** Lowest log version that was asked for so far. */
  readonly from: number;
  readonly reads: number;
  /** Entries found so far, the newest first. */
  readonly found: readonly AuditEntry[];
}

/** Why a call to the platform was made. */
export type CallPurpose =
  | {readonly kind: 'append'; readonly writeId: WriteId}
  | {readonly kind: 'rowWrite'; readonly write: RowWrite}
  | {readonly kind: 'rowRead'}
  | {readonly kind: 'tail'}
  | {readonly kind: 'loadSnapshot'}
  | {readonly kind: 'loadPointer'}
  | {readonly kind: 'snapshotPointer'}
  | {readonly kind: 'storeSnapshot'; readonly version: Version}
  | {readonly kind: 'pointSnapshot'; readonly pointer: SnapshotPointer}
  | {readonly kind: 'endingRead'; readonly member: MemberId}
  | {
      readonly kind: 'audit';
      readonly token: number;
      readonly search: AuditSearch;
    };

/** A call without a reply yet. */
export interface PendingCall {
  readonly purpose: CallPurpose;
  /** Incarnation that made the call. */
  readonly self: MemberId;
}

/** An operator's command that waits for its entry. */
export interface PendingCommand {
  readonly command: Command;
  readonly token: number;
  /** Monotonic time at which the result becomes unknown. */
  readonly expiresAt: number;
  /** Set while the entry is being written. */
  writeId: WriteId | null;
}

/**
 * Life of this incarnation. `ending`: it dispatches nothing and commits its
 * own end. `stopping`: slices move away first.
 */
export type Phase = 'joining' | 'joined' | 'stopping' | 'ending' | 'left';

/** A slice whose owner drains, with the time the drain began. */
export interface Drain {
  readonly service: ServiceName;
  readonly slice: Slice;
  readonly since: number;
  late: boolean;
  /** Whether the backend server was asked to give it back. */
  asked: boolean;
  /** What the backend server handed over with it, or null. */
  handover: string | null;
}

/** Everything ownership knows. */
export interface Ownership {
  readonly settings: OwnershipSettings;
  readonly keys: Keys;
  self: MemberId;
  /** Incarnations used in this process. */
  incarnations: number;
  phase: Phase;
  /** Whether the process leaves once its end is committed. */
  leaves: boolean;
  /** Monotonic time by which a planned stop ends in any case. */
  stopBy: number;
  map: ClusterMap;
  /** Newest entries, oldest first. */
  recent: Committed[];
  journal: Journal;
  sync: Sync;
  lease: Lease;
  wards: Map<MemberId, Ward>;
  /** Incarnations that this member will never grant again. */
  closed: Set<MemberId>;
  endings: Map<MemberId, Ending>;
  announcement: Announcement | null;
  commands: PendingCommand[];
  drains: Map<string, Drain>;
  /** Monotonic time since which this member takes no new work. */
  heldBackSince: number | null;
  calls: Map<CallId, PendingCall>;
  nextCall: number;
  nextWrite: number;
  /** Whether the platform answered the latest call. */
  storeReachable: boolean;
  /** Set when something changed that duties depend on. */
  dirty: boolean;
  /** Monotonic time at which each peer was last heard. */
  heard: Map<MemberId, number>;
  /** Cached ring with the membership change it belongs to. */
  ring: {changes: number; ring: Ring; ranks: readonly MemberId[]};
  /** Membership change up to which the ring is watched. */
  watchedChanges: number;
  /** Version at which the coordinator found nothing to place. */
  settledVersion: number;
  readonly grants: Grants;
  /** Monotonic time at which this incarnation joined. */
  joinedAt: number;
  /** Newest state of the outside configuration source, or null. */
  sourced: SourcedConfiguration | null;
  /** Monotonic time of the next look at the ranks before this member. */
  watchAt: number;
  actsAsCoordinator: boolean;
  snapshots: Snapshots;
  /** What the newest check of invariants saw. */
  checked: {version: number; configuration: number};
  readonly balance: Balance;
}

/** What one step works with. */
export interface Context {
  readonly state: Ownership;
  readonly at: Instant;
  readonly effects: Effect[];
  readonly work: WorkView;
  /** Uniform in [0, 1). */
  random(): number;
}

/** A change to append, with the rows it is conditional on. */
export interface Wanted {
  readonly change: Change;
  readonly by: string;
  /** Members whose rows are deleted, with their revisions. */
  readonly ends?: ReadonlyArray<{member: MemberId; revision: number}>;
  readonly command?: PendingCommand;
}

/**
 * Creates the state of a daemon that has not joined.
 *
 * @param settings - The daemon's settings.
 * @returns The state.
 */
export function createOwnership(settings: OwnershipSettings): Ownership {
  return {
    settings,
    keys: keysOf(settings.workspace),
    self: memberOf(settings.host, settings.incarnation),
    incarnations: 1,
    phase: 'joining',
    leaves: false,
    stopBy: 0,
    map: createMap(),
    recent: [],
    journal: createJournal(),
    sync: createSync(),
    lease: createLease(),
    wards: new Map(),
    closed: new Set(),
    endings: new Map(),
    announcement: null,
    commands: [],
    drains: new Map(),
    heldBackSince: null,
    calls: new Map(),
    nextCall: 1,
    nextWrite: 1,
    storeReachable: false,
    dirty: true,
    heard: new Map(),
    ring: {changes: -1, ring: EMPTY_RING, ranks: []},
    watchedChanges: -1,
    settledVersion: -1,
    grants: createGrants(),
    joinedAt: 0,
    sourced: null,
    watchAt: 0,
    actsAsCoordinator: false,
    snapshots: createSnapshots(),
    checked: {version: 0, configuration: 0},
    balance: createBalance(),
  };
}

/**
 * Tells whether a rule is in force.
 *
 * @param state - The state.
 * @param rule - The rule.
 * @returns False only where a test left it out.
 */
export function inForce(state: Ownership, rule: Rule): boolean {
  return state.settings.rulesOff?.has(rule) !== true;
}

/**
 * Finds the ring of the live members.
 *
 * @param state - The state; caches the ring.
 * @returns The ring of the map as it stands.
 */
export function currentRing(state: Ownership): Ring {
  refreshRing(state);
  return state.ring.ring;
}

/**
 * Finds the ranks of the live members; the first is the coordinator.
 *
 * @param state - The state; caches the ranks.
 * @returns The ranks of the map as it stands.
 */
export function currentRanks(state: Ownership): readonly MemberId[] {
  refreshRing(state);
  return state.ring.ranks;
}

function refreshRing(state: Ownership): void {
  const changes = state.map.membershipChanges;
  if (state.ring.changes === changes) return;
  const {map} = state;
  state.ring = {changes, ring: ringOf(map), ranks: ranksOf(map)};
}
