/**
 * @fileoverview State of ownership in one daemon, and the context in which the
 * reducer handles one input.
 */

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
import {createSliceGrants} from '../grants/state.js';
import type {SliceGrants} from '../grants/types.js';
import type {HeardConfiguration} from '../configuration/logic.js';
import {createFreshness} from '../configuration/freshness.js';
import type {ConfigurationFreshness} from '../configuration/freshness.js';
import {createSourceWatch} from '../configuration/watchers.js';
import type {SourceWatch} from '../configuration/watchers.js';
import {createFormation} from '../coordinator/formation.js';
import type {Formation} from '../coordinator/formation.js';
import {makeMemberId} from '../ids/logic.js';
import type {LogWriter, LogReader} from '../log_replication/types.js';
import {createLogWriter, createLogReader} from '../log_replication/state.js';
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
import {createProposals} from '../proposals/state.js';
import type {Proposals} from '../proposals/types.js';
import {createRestoreState} from '../restore/state.js';
import type {RestoreState} from '../restore/types.js';
import type {Tuning} from '../settings/defaults.js';
import {createSnapshotWriter} from '../snapshots/state.js';
import type {SnapshotPointer, SnapshotWriter} from '../snapshots/types.js';
import type {WorkView} from './types.js';

/**
 * A rule of the ownership protocol; see docs/design/ownership.md. To dispatch
 * means here to hand an attempt to the local backend server.
 *
 * - R1: A member dispatches only while its map names it as the owner and its
 *   lease is valid by both clocks at the instant of dispatch.
 * - R2: A member may be evicted only once its row has not changed for lease
 *   time plus margin, and every grantor that the row names has revoked it or
 *   was itself removed at least that long ago.
 * - R3: While the outcome of writes of a member's row is unknown, only grantors
 *   named by the row and by every such write count.
 * - R4: A member without a lease grants none; a restarted daemon joins under a
 *   new id, and its predecessor has to be evicted.
 * - R5: A standby becomes owner only by applying the entry that removes the
 *   owner.
 * - R6: The owner of a moving slice stops dispatching, and releases it only
 *   once nothing runs on it and the backend server no longer holds it.
 * - R7: Grantors are the next members in a ring of hashes, in other zones, two
 *   from five members on. Silent ones are skipped until they are heard again,
 *   and probed meanwhile; those that revoked this incarnation are skipped
 *   permanently. A member left without any removes itself and joins again. R7
 *   is not part of this type, since it can't be disabled.
 * - R8: A confirmed write of a member's row counts as a lease granted by the
 *   store. All members together stay within a rate limit of such writes.
 * - R9: A member that gets no replies probes its peers instead of renewing, and
 *   stops writing its row for a while, so that the others can evict it if they
 *   are alive; then it writes its row for a while, since all others may have
 *   failed. It serves liveness only: R1 to R8 are safe without it.
 */
export type Rule = 'R1' | 'R2' | 'R3' | 'R4' | 'R5' | 'R6' | 'R8' | 'R9';

/** Settings of ownership in a daemon. */
export interface OwnershipSettings {
  readonly workspace: WorkspaceName;
  readonly host: HostName;
  readonly zone: ZoneName;
  /** Address at which other daemons reach this one. */
  readonly address: Address;
  /**
   * Address of its HTTP port for operators, which goes into the replicated log
   * so that operators can find it.
   */
  readonly operators?: Address;
  /** Unique to each start of the process on this host. */
  readonly incarnation: string;
  readonly tuning: Tuning;
  /** Rules that are disabled; only tests set this. */
  readonly disabledRules?: ReadonlySet<Rule>;
}

/** A search of the audit trail, from the newest entries to older ones. */
export interface AuditSearch {
  /** Number of entries that are still to be found. */
  readonly wanted: number;
  /** Lowest log version that was read so far. */
  readonly from: number;
  /** Reads sent so far. */
  readonly reads: number;
  /** Entries found so far, the newest first. */
  readonly found: readonly AuditEntry[];
}

/**
 * What a call to the store is for; decides who handles its reply.
 *
 * - `append`: appends a log entry.
 * - `rowWrite`, `rowRead`: write or read this member's row.
 * - `tail`: reads log entries after the version of the map.
 * - `compareLog`: reads the log of a restored store from entries on that were
 *   applied.
 * - `restoreEntries`: writes entries that a restored store has lost.
 * - `loadPointer`, `loadSnapshot`: read the snapshot pointer, then the
 *   snapshot, to replace the map by it.
 * - `snapshotPointer`, `storeSnapshot`, `pointSnapshot`: read the pointer,
 *   store a new snapshot, then let the pointer name it.
 * - `evictionRead`: reads the row of a member that is being evicted.
 * - `audit`: reads log entries for an operator.
 */
export type CallPurpose =
  | {readonly kind: 'append'; readonly writeId: WriteId}
  | {readonly kind: 'rowWrite'; readonly write: RowWrite}
  | {readonly kind: 'rowRead'}
  | {readonly kind: 'tail'}
  | {readonly kind: 'compareLog'; readonly sentAt: number}
  | {readonly kind: 'restoreEntries'; readonly version: Version}
  | {readonly kind: 'loadSnapshot'}
  | {readonly kind: 'loadPointer'}
  | {readonly kind: 'snapshotPointer'}
  | {
      readonly kind: 'storeSnapshot';
      readonly version: Version;
      /** Name of the object. */
      readonly object: string;
    }
  | {readonly kind: 'pointSnapshot'; readonly pointer: SnapshotPointer}
  | {readonly kind: 'evictionRead'; readonly member: MemberId}
  | {
      readonly kind: 'audit';
      readonly token: number;
      readonly search: AuditSearch;
    };

/** A call to the store without a reply yet. */
export interface PendingCall {
  readonly purpose: CallPurpose;
  /**
   * Member id of this daemon when it made the call, so that replies about the
   * row of an earlier incarnation are ignored.
   */
  readonly issuedBy: MemberId;
}

/** An operator's command that waits for its log entry to be committed. */
export interface PendingCommand {
  readonly command: Command;
  /** Identifies the reply to the operator. */
  readonly token: number;
  /** Monotonic time at which the operator gets a reply without its result. */
  readonly expiresAt: number;
  /** Id of the write of its entry, or null while there is none. */
  writeId: WriteId | null;
}

/**
 * Phase of this incarnation. `joining`: its `joined` entry isn't committed yet.
 * `stopping`: a stop was requested, and its slices move away. `ending`: it
 * dispatches nothing and is committing its own removal from the workspace.
 * `left`: the process exits.
 */
export type Phase = 'joining' | 'joined' | 'stopping' | 'ending' | 'left';

/** A moving slice that this member owns and drains. */
export interface SliceDrain {
  readonly service: ServiceName;
  readonly slice: Slice;
  /** Monotonic time at which the drain began. */
  readonly begunAt: number;
  /** Whether the log event `drainLate` was written for it. */
  loggedLate: boolean;
  /**
   * Number of the release by which the backend server was asked to hand the
   * slice back, or null.
   */
  releaseRound: number | null;
  /** Opaque token from the backend server for the next one, or null. */
  handover: string | null;
}

/** State of ownership: members, leases, the map and what this daemon does. */
export interface OwnershipState {
  readonly settings: OwnershipSettings;
  readonly keys: StoreKeys;
  /** Member id of the current incarnation. */
  self: MemberId;
  /** Number of incarnations so far in this process. */
  incarnationCount: number;
  phase: Phase;
  /** Whether the process exits once this member is removed. */
  stopRequested: boolean;
  /** Deadline of a requested stop, as monotonic time. */
  stopDeadline: number;
  map: ClusterMap;
  /** Newest log entries, the oldest first, kept for other members. */
  recentEntries: CommittedEntry[];
  logWriter: LogWriter;
  logReader: LogReader;
  lease: LeaseState;
  watchedMembers: Map<MemberId, WatchedMember>;
  /** Members to which this one promised never to grant a lease again. */
  revokedMembers: Set<MemberId>;
  /**
   * Monotonic time until which a lease may be valid that this process granted
   * under an earlier member id, margin included.
   */
  formerLeasesUntil: number;
  evictions: Map<MemberId, Eviction>;
  /** What the local backend server announces, or null. */
  announcement: Announcement | null;
  pendingCommands: PendingCommand[];
  /** Drains by `service/slice`. */
  drains: Map<string, SliceDrain>;
  /**
   * Monotonic times at which calls for ranges to hand back began, by
   * `service/first slice`.
   */
  readonly releasesUnderWay: Map<string, number>;
  /**
   * Monotonic time since which this member offers a server but accepts no new
   * work, or null.
   */
  notAcceptingWorkSince: number | null;
  pendingCalls: Map<CallId, PendingCall>;
  nextCall: number;
  nextWrite: number;
  /**
   * Whether the latest reply of the store was neither refused nor unknown.
   */
  storeReachable: boolean;
  /** Set when due tasks have to run after this input, not only at a tick. */
  runTasksNow: boolean;
  /**
   * Monotonic time of the last message of any kind from each member, or of the
   * first check if none came. `WatchedMember.lastHeardAt` counts renewals only.
   */
  lastHeardAt: Map<MemberId, number>;
  /**
   * Ring and ranks (the order of succession for the coordinator), with the
   * count of membership changes to which they belong.
   */
  ringCache: {
    membershipChanges: number;
    ring: Ring;
    ranks: readonly MemberId[];
  };
  /** Count of membership changes when `watchedMembers` was last updated. */
  watchedMembershipChanges: number;
  /** Members of the map at that time. */
  membersWhenWatched: ReadonlySet<MemberId>;
  /**
   * Log version at which the coordinator found nothing to place; -1 if none.
   */
  placementCheckedVersion: number;
  readonly formation: Formation;
  readonly grants: SliceGrants;
  /** Monotonic time at which this incarnation joined. */
  joinedAt: number;
  /** Newest state of the external configuration source, or null. */
  externalConfiguration: ExternalConfiguration | null;
  /** Monotonic time of the next check for higher-ranked members. */
  nextRankCheckAt: number;
  actsAsCoordinator: boolean;
  snapshots: SnapshotWriter;
  /** Log version and configuration at the last check of invariants. */
  lastChecked: {version: number; configuration: number};
  /** A newer configuration of a peer, or null. */
  heardConfiguration: HeardConfiguration | null;
  readonly balance: Balance;
  readonly proposals: Proposals;
  readonly sourceWatch: SourceWatch;
  readonly freshness: ConfigurationFreshness;
  readonly restore: RestoreState;
  /** Ids that this process gave up since the store's log contradicted it. */
  readonly formerIds: Set<MemberId>;
}

/** Context in which the reducer handles one input. */
export interface OwnershipContext {
  readonly state: OwnershipState;
  readonly at: Instant;
  readonly effects: Effect[];
  readonly work: WorkView;
  /** Returns a number uniform in [0, 1). */
  random(): number;
}

/** A change to append to the log, with the conditions of the write. */
export interface ProposedChange {
  readonly change: Change;
  /** The member or operator on whose behalf the change is made. */
  readonly by: string;
  /** Members to remove: their rows are deleted if still at these revisions. */
  readonly removals?: ReadonlyArray<{member: MemberId; revision: number}>;
  /** The command that the change carries out. */
  readonly command?: PendingCommand;
}

/**
 * Creates the state of a daemon that hasn't joined.
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
    revokedMembers: new Set(),
    formerLeasesUntil: 0,
    evictions: new Map(),
    announcement: null,
    pendingCommands: [],
    drains: new Map(),
    releasesUnderWay: new Map(),
    notAcceptingWorkSince: null,
    pendingCalls: new Map(),
    nextCall: 1,
    nextWrite: 1,
    storeReachable: false,
    runTasksNow: true,
    lastHeardAt: new Map(),
    ringCache: {membershipChanges: -1, ring: EMPTY_RING, ranks: []},
    watchedMembershipChanges: -1,
    membersWhenWatched: new Set(),
    placementCheckedVersion: -1,
    formation: createFormation(),
    grants: createSliceGrants(),
    joinedAt: 0,
    externalConfiguration: null,
    nextRankCheckAt: 0,
    actsAsCoordinator: false,
    snapshots: createSnapshotWriter(),
    lastChecked: {version: 0, configuration: 0},
    heardConfiguration: null,
    balance: createBalance(),
    proposals: createProposals(),
    sourceWatch: createSourceWatch(),
    freshness: createFreshness(),
    restore: createRestoreState(),
    formerIds: new Set(),
  };
}

/**
 * Returns whether a rule is enabled.
 *
 * @param state - State of ownership.
 * @param rule - The rule.
 * @returns False only if a test disabled it.
 */
export function isRuleEnabled(state: OwnershipState, rule: Rule): boolean {
  return state.settings.disabledRules?.has(rule) !== true;
}

/**
 * Returns the ring of the members.
 *
 * @param state - State of ownership; caches the ring.
 * @returns The ring of the current map.
 */
export function currentRing(state: OwnershipState): Ring {
  refreshRingCache(state);
  return state.ringCache.ring;
}

/**
 * Returns the members by rank, that is in order of succession for the
 * coordinator; the first is the coordinator.
 *
 * @param state - State of ownership; caches the ranks.
 * @returns The member ids of the current map, by rank.
 */
export function currentRanks(state: OwnershipState): readonly MemberId[] {
  refreshRingCache(state);
  return state.ringCache.ranks;
}

function refreshRingCache(state: OwnershipState): void {
  const membershipChanges = state.map.membershipChanges;
  if (state.ringCache.membershipChanges === membershipChanges) return;
  const {map} = state;
  state.ringCache = {
    membershipChanges,
    ring: buildRing(map),
    ranks: rankMembers(map),
  };
}
