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

/** A slice range: consecutive slices with the same owner and standby. */
export interface SliceRange {
  readonly first: Slice;
  readonly count: number;
  readonly owner: MemberId;
  readonly standby: MemberId | null;
}

/** A slice range that is to move to the same member. */
export interface SliceMove {
  readonly first: Slice;
  readonly count: number;
  readonly to: MemberId;
}

/** Token from a slice's previous backend server, passed to the next one. */
export interface Handover {
  readonly slice: Slice;
  /** Opaque to the daemons. */
  readonly token: string;
}

/** A change of one member that another one may commit for it. */
export type MemberChange =
  /** A daemon joined as a new member. */
  | {
      readonly kind: 'joined';
      readonly member: MemberId;
      readonly zone: ZoneName;
      readonly address: Address;
      /** Address of its port for operators, or null if it has none. */
      readonly operators: Address | null;
      /** Predecessor on the host whose slices it takes over, or null. */
      readonly replaces: MemberId | null;
      /**
       * Grantors that its row names at first, chosen by the member that writes
       * the entry. Requests to commit the change, and entries of earlier
       * releases, name none.
       */
      readonly grantors?: readonly MemberId[];
    }
  /** Registers a member's local backend server, or updates what it offers. */
  | {
      readonly kind: 'offered';
      readonly member: MemberId;
      readonly service: ServiceName;
      readonly instance: InstanceId;
      /** Requests that it runs at the same time. */
      readonly slots: number;
      /** True once the server is shutting down: it asked to or was told to. */
      readonly leaving: boolean;
    };

/**
 * The owner has drained and released these slices; the target of each move
 * becomes the owner.
 */
export interface Release {
  readonly kind: 'released';
  readonly service: ServiceName;
  readonly slices: readonly Slice[];
  /** Tokens that the backend server passed on for some of them. */
  readonly handovers: readonly Handover[];
}

/** The change that an entry makes to the cluster map. */
export type Change =
  | MemberChange
  | Release
  /** Changes of several members, which one of them committed at once. */
  | {
      readonly kind: 'combined';
      readonly changes: ReadonlyArray<MemberChange | Release>;
    }
  /**
   * Removes these members from the workspace, because they left or were
   * evicted; their processes may still run. Each slice that one of them owned
   * goes to its move target or else its standby, under the next generation.
   */
  | {readonly kind: 'ended'; readonly members: readonly MemberId[]}
  /** Deregisters the member's local backend server. */
  | {readonly kind: 'withdrawn'; readonly member: MemberId}
  /**
   * The member or its backend server is to stop: it takes no new work, and its
   * slices move away.
   */
  | {readonly kind: 'draining'; readonly member: MemberId}
  /**
   * Places slices: sets the owner of slices without one, and then the standby
   * of each slice whose owner is the one named here.
   */
  | {
      readonly kind: 'placed';
      readonly service: ServiceName;
      /** Number of slices of the service. */
      readonly slices: number;
      /** The slice ranges. */
      readonly runs: readonly SliceRange[];
    }
  /**
   * Slices start to move. The owner stops dispatching to a slice, and releases
   * it only once nothing runs on it and the backend server no longer holds it
   * (R6).
   */
  | {
      readonly kind: 'moving';
      readonly service: ServiceName;
      readonly moves: readonly SliceMove[];
    }
  /** A configuration document was accepted. */
  | {
      readonly kind: 'configured';
      /** Version of the configuration. */
      readonly number: number;
      readonly document: string;
    }
  /**
   * Changes nothing. Stands for an entry that can't be read, since another
   * writer has taken its version.
   */
  | {readonly kind: 'unreadable'}
  /** An availability zone is evacuated (`out`) or used again. */
  | {readonly kind: 'zone'; readonly zone: ZoneName; readonly out: boolean};

/** One entry of the log. */
export interface Entry {
  readonly version: Version;
  readonly writeId: WriteId;
  /** Member that proposed the change, or operator that requested it. */
  readonly by: string;
  /** Wall clock of the daemon that wrote it, in ms since the epoch. */
  readonly at: number;
  readonly change: Change;
  /** Era of the store when it was proposed; absent if the store sends none. */
  readonly era?: number;
}

/** A committed entry with the revision of its log row in the store. */
export interface CommittedEntry {
  readonly entry: Entry;
  readonly revision: number;
  /** Value of its log row; absent if it is what `serializeEntry` returns. */
  readonly text?: string;
}
