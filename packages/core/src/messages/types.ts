/** @fileoverview Messages between daemons, one union for each concern. */

import type {RunState, ErrorKind} from '../errors/types.js';
import type {
  AttemptId,
  MemberId,
  RequestId,
  ServiceName,
  Slice,
  Version,
  ZoneName,
} from '../ids/types.js';
import type {Priority} from '../workspace/types.js';

/** One header: name in lower case, value. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** Asks the receiver to run an attempt on the backend server beside it. */
export interface Dispatch {
  readonly kind: 'dispatch';
  readonly attempt: AttemptId;
  /** The member asked; any other incarnation refuses. */
  readonly to: MemberId;
  readonly request: RequestId;
  readonly service: ServiceName;
  /** Slice of the key, or null for a shared service. */
  readonly slice: Slice | null;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly idempotent: boolean;
  readonly priority: Priority;
  /** Value of the caller's `Idempotency-Key`, or null. */
  readonly idempotencyKey: string | null;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly budgetMs: number;
  /** Rank among work that waits for the same server; 0 goes first. */
  readonly urgency: number;
  /** Time within which an answer is worth most, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
  /** Log version of the sender's map. */
  readonly version: Version;
  /** First part of the body; the rest follows as `body` messages. */
  readonly body: Uint8Array;
  readonly bodyEnds: boolean;
}

/** Messages that carry requests and answers. */
export type RequestMessage =
  | Dispatch
  /** A further part of a request's body. */
  | {
      readonly kind: 'body';
      readonly attempt: AttemptId;
      readonly bytes: Uint8Array;
      readonly ends: boolean;
    }
  /** Start of an answer. */
  | {
      readonly kind: 'head';
      readonly attempt: AttemptId;
      readonly status: number;
      readonly headers: readonly Header[];
    }
  /** A part of an answer's body. */
  | {
      readonly kind: 'data';
      readonly attempt: AttemptId;
      readonly bytes: Uint8Array;
    }
  /** The answer is whole. */
  | {
      readonly kind: 'end';
      readonly attempt: AttemptId;
      /** Attempts waiting or running at the sender. */
      readonly outstanding: number;
    }
  /** The attempt failed; the answer, if begun, is cut short. */
  | {
      readonly kind: 'failed';
      readonly attempt: AttemptId;
      readonly error: ErrorKind;
      readonly run: RunState;
      readonly detail: string;
      /** Owner according to the sender's map, or null. */
      readonly owner: MemberId | null;
      readonly version: Version;
      readonly outstanding: number;
    }
  /** The receiver of an answer or body can take more bytes. */
  | {
      readonly kind: 'credit';
      readonly attempt: AttemptId;
      readonly bytes: number;
    }
  /** The caller no longer wants the attempt. */
  | {readonly kind: 'cancel'; readonly attempt: AttemptId}
  /** Was the attempt started? If not, never start it. */
  | {
      readonly kind: 'inquire';
      readonly attempt: AttemptId;
      /** The member that was sent the dispatch. */
      readonly to: MemberId;
    }
  /**
   * Answer to `inquire`. After `running` and `kept` the answer follows from
   * its beginning on the link that carried the inquiry.
   */
  | {
      readonly kind: 'fate';
      readonly attempt: AttemptId;
      readonly state: 'never' | 'running' | 'kept' | 'forgotten';
    };

/** An entry of the log as carried between daemons and kept in the table. */
export interface LoggedEntry {
  readonly version: Version;
  /** Revision of the entry's row in the table. */
  readonly revision: number;
  /** JSON text of the entry. */
  readonly text: string;
}

/** Messages of membership, leases and dissemination. */
export type ControlMessage =
  | {
      readonly kind: 'renew';
      readonly member: MemberId;
      readonly round: number;
      /** Revision of the sender's row. */
      readonly row: number;
      readonly version: Version;
      readonly configuration: number;
    }
  | {
      readonly kind: 'renewed';
      readonly round: number;
      readonly granted: boolean;
      /** Why not, or empty. */
      readonly reason: string;
      readonly version: Version;
      readonly configuration: number;
    }
  | {readonly kind: 'close'; readonly member: MemberId; readonly round: number}
  | {
      readonly kind: 'closed';
      readonly member: MemberId;
      readonly round: number;
      /** False while the promise of the sender still runs. */
      readonly closed: boolean;
    }
  /** The sender has not heard this member; please end it (R2). */
  | {
      readonly kind: 'suspect';
      readonly member: MemberId;
      /** Revision of its row as it was last told, or 0. */
      readonly row: number;
      /** Time for which the sender has known this, in milliseconds. */
      readonly quietMs: number;
    }
  /** The member is alive: another member grants its lease. */
  | {readonly kind: 'cleared'; readonly member: MemberId}
  /** State of the outside configuration source, for a member behind it. */
  | {
      readonly kind: 'configuration';
      readonly number: number;
      readonly document: string;
      readonly zonesOut: readonly ZoneName[];
    }
  /** Answered by `entries`, also when there are none. */
  | {readonly kind: 'pull'; readonly after: Version}
  | {
      readonly kind: 'entries';
      readonly entries: readonly LoggedEntry[];
      /** Log version of the sender. */
      readonly version: Version;
    }
  /** Busy slots per slice, reported to the coordinator. */
  | {
      readonly kind: 'load';
      readonly service: ServiceName;
      readonly slices: readonly Slice[];
      /** Slots kept busy, in the order of `slices`. */
      readonly rates: readonly number[];
      /** Slots kept busy by all slices of the sender. */
      readonly total: number;
      /** Mean time of a run at the sender, in milliseconds; 0 if unknown. */
      readonly runMs: number;
    };

/** Everything a link carries between two daemons. */
export type Message = RequestMessage | ControlMessage;
