/** @fileoverview State of ownership in one daemon, and the context of a step. */

import type {Instant} from '../clock/types.js';
import type {AuditEntry} from '../commands/types.js';
import type {
  Announcement,
  Command,
  Effect,
  ExternalConfiguration,
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
import {makeMemberId} from '../ids/logic.js';
import type {LogWriter, LogReader} from '../journal/types.js';
import {createLogWriter, createLogReader} from '../journal/state.js';
import type {LeaseState, RowWrite, WatchedMember} from '../leases/types.js';
import {createLeaseState} from '../leases/state.js';
import type {StoreKeys} from '../log/logic.js';
import {createStoreKeys} from '../log/logic.js';
import type {Change, CommittedEntry} from '../log/types.js';
import type {ClusterMap} from '../map/types.js';
import {createMap} from '../map/state.js';
import type {Ring} from '../membership/ring.js';
import {EMPTY_RING, rankMembers, buildRing} from '../membership/ring.js';
import type {Eviction} from '../membership/types.js';
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
  readonly disabledRules?: ReadonlySet<Rule>;
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
  | {readonly kind: 'evictionRead'; readonly member: MemberId}
  | {
      readonly kind: 'audit';
      readonly token: number;
      readonly search: AuditSearch;
    };

/** A call without a reply yet. */
export interface PendingCall {
  readonly purpose: CallPurpose;
  /** Incarnation that made the call. */
  readonly madeBy: MemberId;
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
  readonly begunAt: number;
  reportedLate: boolean;
  /** Whether the backend server was asked to give it back. */
  releaseRequested: boolean;
  /** What the backend server handed over with it, or null. */
  handover: string | null;
}

/** Everything ownership knows. */
export interface OwnershipState {
  readonly settings: OwnershipSettings;
  readonly keys: StoreKeys;
  self: MemberId;
  /** Incarnations used in this process. */
  incarnationCount: number;
  phase: Phase;
  /** Whether the process leaves once its end is committed. */
  stopRequested: boolean;
  /** Monotonic time by which a planned stop ends in any case. */
  stopDeadline: number;
  map: ClusterMap;
  /** Newest entries, oldest first. */
  recentEntries: CommittedEntry[];
  logWriter: LogWriter;
  logReader: LogReader;
  lease: LeaseState;
  watchedMembers: Map<MemberId, WatchedMember>;
  /** Incarnations that this member will never grant again. */
  closed: Set<MemberId>;
  evictions: Map<MemberId, Eviction>;
  announcement: Announcement | null;
  pendingCommands: PendingCommand[];
  drains: Map<string, Drain>;
  /** Monotonic time since which this member takes no new work. */
  notTakingWorkSince: number | null;
  pendingCalls: Map<CallId, PendingCall>;
  nextCall: number;
  nextWrite: number;
  /** Whether the platform answered the latest call. */
  storeReachable: boolean;
  /** Set when something changed that duties depend on. */
  dirty: boolean;
  /** Monotonic time at which each peer was last heard. */
  lastHeardAt: Map<MemberId, number>;
  /** Cached ring with the membership change it belongs to. */
  ringCache: {
    membershipChanges: number;
    ring: Ring;
    ranks: readonly MemberId[];
  };
  /** Membership change up to which the ring is watched. */
  watchedMembershipChanges: number;
  /** Version at which the coordinator found nothing to place. */
  placementSettledVersion: number;
  readonly grants: Grants;
  /** Monotonic time at which this incarnation joined. */
  joinedAt: number;
  /** Newest state of the outside configuration source, or null. */
  externalConfiguration: ExternalConfiguration | null;
  /** Monotonic time of the next look at the ranks before this member. */
  nextRankCheckAt: number;
  actsAsCoordinator: boolean;
  snapshots: Snapshots;
  /** What the newest check of invariants saw. */
  lastChecked: {version: number; configuration: number};
  readonly balance: Balance;
}

/** What one step works with. */
export interface OwnershipContext {
  readonly state: OwnershipState;
  readonly at: Instant;
  readonly effects: Effect[];
  readonly work: WorkView;
  /** Uniform in [0, 1). */
  random(): number;
}

/** A change to append, with the rows it is conditional on. */
export interface ProposedChange {
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
export function createOwnershipState(
  settings: OwnershipSettings,
): OwnershipState {
  return {
    settings,
    keys: createStoreKeys(settings.workspace),
    self: makeMemberId(settings.host, settings.incarnation),
    incarnationCount: 1,
    phase: 'joining',
    stopRequested: false,
    stopDeadline: 0,
    map: createMap(),
    recentEntries: [],
    logWriter: createLogWriter(),
    logReader: createLogReader(),
    lease: createLeaseState(),
    watchedMembers: new Map(),
    closed: new Set(),
    evictions: new Map(),
    announcement: null,
    pendingCommands: [],
    drains: new Map(),
    notTakingWorkSince: null,
    pendingCalls: new Map(),
    nextCall: 1,
    nextWrite: 1,
    storeReachable: false,
    dirty: true,
    lastHeardAt: new Map(),
    ringCache: {membershipChanges: -1, ring: EMPTY_RING, ranks: []},
    watchedMembershipChanges: -1,
    placementSettledVersion: -1,
    grants: createGrants(),
    joinedAt: 0,
    externalConfiguration: null,
    nextRankCheckAt: 0,
    actsAsCoordinator: false,
    snapshots: createSnapshots(),
    lastChecked: {version: 0, configuration: 0},
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
export function isRuleEnabled(state: OwnershipState, rule: Rule): boolean {
  return state.settings.disabledRules?.has(rule) !== true;
}

/**
 * Finds the ring of the live members.
 *
 * @param state - The state; caches the ring.
 * @returns The ring of the map as it stands.
 */
export function currentRing(state: OwnershipState): Ring {
  refreshRing(state);
  return state.ringCache.ring;
}

/**
 * Finds the ranks of the live members; the first is the coordinator.
 *
 * @param state - The state; caches the ranks.
 * @returns The ranks of the map as it stands.
 */
export function currentRanks(state: OwnershipState): readonly MemberId[] {
  refreshRing(state);
  return state.ringCache.ranks;
}

function refreshRing(state: OwnershipState): void {
  const changes = state.map.membershipChanges;
  if (state.ringCache.membershipChanges === changes) return;
  const {map} = state;
  state.ringCache = {
    membershipChanges: changes,
    ring: buildRing(map),
    ranks: rankMembers(map),
  };
}
