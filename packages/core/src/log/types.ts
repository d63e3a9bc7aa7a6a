/** @fileoverview Entries of the workspace's replicated log. */

import type {
  Address,
  InstanceId,
  MemberId,
  ServiceName,
  Slice,
  Version,
  WriteId,
  ZoneName,
} from '../ids/types.js';

/** Consecutive slices with the same owner and standby. */
export interface SliceRun {
  readonly first: Slice;
  readonly count: number;
  readonly owner: MemberId;
  readonly standby: MemberId | null;
}

/** Consecutive slices that are to move to the same member. */
export interface SliceMove {
  readonly first: Slice;
  readonly count: number;
  readonly to: MemberId;
}

/** State that a backend server hands over to the slice's next holder. */
export interface Handover {
  readonly slice: Slice;
  /** Opaque to the daemons. */
  readonly token: string;
}

/** The change that an entry makes to the cluster map. */
export type Change =
  /** A daemon joined as a new member. */
  | {
      readonly kind: 'joined';
      readonly member: MemberId;
      readonly zone: ZoneName;
      readonly address: Address;
      /** Address of its port for operators, or null if it has none. */
      readonly operators: Address | null;
      /** Earlier member on the host whose slices it takes over, or null. */
      readonly replaces: MemberId | null;
    }
  /**
   * These members are no longer members. Each slice that one of them owned goes
   * to its move target or else its standby, under the next generation.
   */
  | {readonly kind: 'ended'; readonly members: readonly MemberId[]}
  /** The backend server beside a member announced a service to it. */
  | {
      readonly kind: 'offered';
      readonly member: MemberId;
      readonly service: ServiceName;
      readonly instance: InstanceId;
      /** Requests that it runs at the same time. */
      readonly slots: number;
      /** True once it asked to leave or was told to stop. */
      readonly leaving: boolean;
    }
  /** The member has no backend server any more. */
  | {readonly kind: 'withdrawn'; readonly member: MemberId}
  /** The member takes no new work and its slices move away. */
  | {readonly kind: 'draining'; readonly member: MemberId}
  /**
   * Assigns owners to slices without one, and standbys to slices whose owner is
   * the one named here.
   */
  | {
      readonly kind: 'placed';
      readonly service: ServiceName;
      /** Number of slices of the service. */
      readonly slices: number;
      readonly runs: readonly SliceRun[];
    }
  /**
   * Slices start to move. The owner stops dispatching, and releases a slice
   * once nothing runs on it and the backend server no longer holds it (R6).
   */
  | {
      readonly kind: 'moving';
      readonly service: ServiceName;
      readonly moves: readonly SliceMove[];
    }
  /** The target of the move becomes the owner of each of these slices. */
  | {
      readonly kind: 'released';
      readonly service: ServiceName;
      readonly slices: readonly Slice[];
      /** State that the backend server handed over for some of them. */
      readonly handovers: readonly Handover[];
    }
  /** A configuration document was accepted. */
  | {
      readonly kind: 'configured';
      readonly number: number;
      readonly document: string;
    }
  /** An availability zone is taken out of service or put back. */
  | {readonly kind: 'zone'; readonly zone: ZoneName; readonly out: boolean};

/** One entry of the log. */
export interface Entry {
  readonly version: Version;
  readonly writeId: WriteId;
  /** Member or operator on whose behalf the entry was written. */
  readonly by: string;
  /** Wall clock of the daemon that wrote it, in ms since the epoch. */
  readonly at: number;
  readonly change: Change;
}

/** A committed entry with the revision of its log row. */
export interface CommittedEntry {
  readonly entry: Entry;
  readonly revision: number;
}
