/** @fileoverview Types of the model check of slice grants. */

import type {
  Effect,
  Event,
  InstanceId,
  LoggedEntry,
  OwnershipState,
  SliceGrant,
} from '@jackdawfall/core';

/** A call for one grant or release that the daemon has sent. */
export interface ServerCall {
  readonly number: number;
  readonly grant: SliceGrant;
  /** Instance that it is sent to, or null. */
  readonly instance: InstanceId | null;
  readonly sentAt: number;
  /** Time after which the daemon gives it up. */
  readonly timeoutMs: number;
  /** Time to live of a grant; null for a release. */
  readonly ttlMs: number | null;
  /** What the daemon is told if the call succeeds. */
  readonly success: Event;
  /** What the daemon is told if it fails, or null if nothing. */
  readonly failure: Event | null;
  /** Latest time at which it may arrive at the server. */
  readonly arrivesBy: number;
  /** Time of its arrival, or null. */
  arrivedAt: number | null;
  /** Whether the server has carried it out. */
  done: boolean;
  /** Whether the server refused it. */
  refused: boolean;
  /** Whether the daemon still waits for the response. */
  awaited: boolean;
}

/** What the server knows of a slice. */
export interface HeldSlice {
  generation: number;
  /** Time at which the hold ends; 0 if there is none. */
  until: number;
  /** Numbers of the releases since the grant, which wait for the work to end. */
  releasedBy: number[];
}

/** State of one daemon, its server, the calls between them and the oracle. */
export interface World {
  now: number;
  daemon: OwnershipState;
  /** Number of the daemon's process on its host. */
  process: number;
  /** Whether the daemon still handles events. */
  running: boolean;
  /** Time at which the lease was extended last. */
  leaseStart: number;
  /** Whether the lease is still extended. */
  renewsLease: boolean;
  log: readonly LoggedEntry[];
  calls: ServerCall[];
  /** Bounds of the search. */
  readonly bounds: Bounds;
  nextCall: number;
  /** Number of the server's instance. */
  instance: number;
  held: HeldSlice[];
  /** Time from which another server may hold each slice. */
  freeFrom: number[];
  /** What violated the invariant first, or null. */
  violation: string | null;
}

/**
 * What may happen to a call.
 *
 * - `exchange`: it arrives, is carried out and answered.
 * - `arrive`: it arrives and is carried out; a release waits for work. The
 *   response comes later or never.
 * - `defer`, `carryOut`: a grant arrives, and is carried out later without a
 *   response.
 * - `respond`: the response to a call that was carried out.
 * - `repeat`: a copy of an earlier response on the same connection stands for
 *   the response to a grant.
 * - `fail`: the daemon sees a grant fail, which may still arrive.
 * - `drop`: nothing of a grant is written, and the daemon sees that.
 * - `misdirect`: it reaches another instance than it was sent to, and is carried
 *   out and answered.
 */
export type CallStep =
  | 'exchange'
  | 'arrive'
  | 'defer'
  | 'carryOut'
  | 'respond'
  | 'repeat'
  | 'fail'
  | 'drop'
  | 'misdirect';

/**
 * What else may happen.
 *
 * - `move`, `moveAll`: a slice or all slices begin to move to another member.
 * - `cancel`: the target of the move is removed.
 * - `return`: the slice that moved away comes back.
 * - `restart`: the server's process ends, and another instance starts.
 * - `refuse`: a connection is refused, since the process that announced itself
 *   has ended.
 * - `presumeEnded`: a refused connection is taken for the end of the process,
 *   which goes on.
 * - `silence`: the server's announcement expires.
 * - `announce`: the server announces itself.
 * - `replace`: the daemon is killed, and its successor on the host joins.
 * - `stopRenewals`, `resumeRenewals`: the lease is no longer extended, or again
 *   while it is valid.
 * - `end`: the daemon removes itself from the workspace.
 */
export type OtherStep =
  | 'move'
  | 'moveAll'
  | 'cancel'
  | 'return'
  | 'restart'
  | 'refuse'
  | 'presumeEnded'
  | 'silence'
  | 'announce'
  | 'replace'
  | 'stopRenewals'
  | 'resumeRenewals'
  | 'end';

/** One step of a history; `wait` lets time pass. */
export type Step =
  | {readonly kind: CallStep; readonly call: number}
  | {readonly kind: 'wait'; readonly ms: number}
  | {readonly kind: OtherStep};

/** Bounds of a search. */
export interface Bounds {
  /** Steps with which every history begins, beyond the depth; none if absent. */
  readonly prefix?: readonly Step[];
  /** What may happen to calls. */
  readonly calls: readonly CallStep[];
  /** What else may happen. */
  readonly others: readonly OtherStep[];
  readonly waitsMs: readonly number[];
  /**
   * Maximum time of a call on its way; the time after which the daemon gives it
   * up if null.
   */
  readonly maxDelayMs: number | null;
  /** Maximum number of further steps of a history. */
  readonly depth: number;
}

/** The shortest history that leads to two holders of a slice. */
export interface Finding {
  readonly steps: readonly Step[];
  readonly violation: string;
}

/** Result of a search. */
export interface SearchResult {
  readonly finding: Finding | null;
  /** Depth that was searched completely. */
  readonly depth: number;
  /** Number of steps that were tried. */
  readonly tried: number;
}

/** Effects for the server. */
export type ServerEffect = Extract<
  Effect,
  {kind: 'grantSlices' | 'releaseSlices'}
>;
