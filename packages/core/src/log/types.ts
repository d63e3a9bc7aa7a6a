/** @fileoverview Entries of the workspace's one totally ordered log. */

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

/** Consecutive slices that move to the same member. */
export interface SliceMove {
  readonly first: Slice;
  readonly count: number;
  readonly to: MemberId;
}

/** What a backend server hands over to the next holder of a slice. */
export interface Handover {
  readonly slice: Slice;
  readonly token: string;
}

/** What an entry changes. */
export type Change =
  | {
      readonly kind: 'joined';
      readonly member: MemberId;
      readonly zone: ZoneName;
      readonly address: Address;
      /** Its operators port, or null when it has none. */
      readonly operators: Address | null;
      /** Ended member of the same host whose slices it takes over, or null. */
      readonly replaces: MemberId | null;
    }
  /** Every slice of these members goes to its standby, generation + 1. */
  | {readonly kind: 'ended'; readonly members: readonly MemberId[]}
  /** The backend server beside a member offers a service. */
  | {
      readonly kind: 'offered';
      readonly member: MemberId;
      readonly service: ServiceName;
      readonly instance: InstanceId;
      readonly slots: number;
      readonly leaving: boolean;
    }
  | {readonly kind: 'withdrawn'; readonly member: MemberId}
  /** The member takes no new work; its slices move away. */
  | {readonly kind: 'draining'; readonly member: MemberId}
  /** Owners for slices without one; standbys for the others. */
  | {
      readonly kind: 'placed';
      readonly service: ServiceName;
      /** Number of slices of the service. */
      readonly slices: number;
      readonly runs: readonly SliceRun[];
    }
  /** Owners stop dispatching, drain and release (R6). */
  | {
      readonly kind: 'moving';
      readonly service: ServiceName;
      readonly moves: readonly SliceMove[];
    }
  | {
      readonly kind: 'released';
      readonly service: ServiceName;
      readonly slices: readonly Slice[];
      /** What the backend server handed over, by slice. */
      readonly handovers: readonly Handover[];
    }
  /** A configuration document is accepted. */
  | {
      readonly kind: 'configured';
      readonly number: number;
      readonly document: string;
    }
  | {readonly kind: 'zone'; readonly zone: ZoneName; readonly out: boolean};

/** One entry of the log. */
export interface Entry {
  readonly version: Version;
  readonly writeId: WriteId;
  /** Member or operator on whose behalf the entry was written. */
  readonly by: string;
  /** Wall clock of the author, in milliseconds since the epoch. */
  readonly at: number;
  readonly change: Change;
}

/** An entry as applied: with the revision of its row. */
export interface CommittedEntry {
  readonly entry: Entry;
  readonly revision: number;
}
