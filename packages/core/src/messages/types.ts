/** @fileoverview Messages that daemons exchange over links. */

import type {RunState, ErrorKind} from '../errors/types.js';
import type {
  AttemptId,
  CostClass,
  MemberId,
  RequestId,
  ServiceName,
  Slice,
  Version,
  ZoneName,
} from '../ids/types.js';
import type {Priority} from '../workspace/types.js';

/** One HTTP header. */
export interface Header {
  /** In lower case. */
  readonly name: string;
  readonly value: string;
}

/**
 * Asks the receiver to run an attempt on its local backend server. For a keyed
 * service, the receiver is the owner of the slice. Two steps are called
 * dispatch: with this message, the origin hands an attempt to a daemon; later,
 * if `mayDispatch` permits it, that daemon hands it to its backend server.
 */
export interface Dispatch {
  readonly kind: 'dispatch';
  readonly attempt: AttemptId;
  /** The receiver; another incarnation of its daemon rejects the dispatch. */
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
  /** Time remaining until the caller's deadline, in milliseconds. */
  readonly budgetMs: number;
  /**
   * Order among queued attempts of the same priority at a server; lower values
   * go first.
   */
  readonly urgency: number;
  /** Response time objective of the route, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
  /** Class of its run time; 0 unless scheduling goes by cost. */
  readonly costClass: CostClass;
  /** Log version of the sender's map. */
  readonly version: Version;
  /** First part of the body; the rest follows in `body` messages. */
  readonly body: Uint8Array;
  /** True if this is the whole body. */
  readonly bodyEnds: boolean;
}

/** Messages of the data plane: they carry requests and responses. */
export type RequestMessage =
  | Dispatch
  /** The next part of a request's body. */
  | {
      readonly kind: 'body';
      readonly attempt: AttemptId;
      readonly bytes: Uint8Array;
      /** True for the last part. */
      readonly ends: boolean;
    }
  /** Status and headers of a response. */
  | {
      readonly kind: 'head';
      readonly attempt: AttemptId;
      readonly status: number;
      readonly headers: readonly Header[];
    }
  /** The next part of a response's body. */
  | {
      readonly kind: 'data';
      readonly attempt: AttemptId;
      readonly bytes: Uint8Array;
    }
  /** The response is complete. */
  | {
      readonly kind: 'end';
      readonly attempt: AttemptId;
      /** Attempts that are queued or running at the sender. */
      readonly outstanding: number;
      /** See `WorkReport`. */
      readonly workMs: number;
      /** See `WorkReport`. */
      readonly expectedMs: number;
    }
  /** The attempt failed; a response that has started stays incomplete. */
  | {
      readonly kind: 'failed';
      readonly attempt: AttemptId;
      readonly error: ErrorKind;
      /** Whether the attempt may have run. */
      readonly run: RunState;
      /** Detail for people. */
      readonly detail: string;
      /**
       * Another daemon that owns the slice by the sender's map, for the next
       * attempt. Set only if ownership denied the attempt; null otherwise, and
       * if the map names the sender or nobody.
       */
      readonly owner: MemberId | null;
      /** Log version of that map. */
      readonly version: Version;
      /** Attempts that are queued or running at the sender. */
      readonly outstanding: number;
      /** See `WorkReport`. */
      readonly workMs: number;
    }
  /**
   * Flow control: the receiver of a response or body accepts this many more
   * bytes.
   */
  | {
      readonly kind: 'credit';
      readonly attempt: AttemptId;
      readonly bytes: number;
    }
  /** The origin no longer needs the attempt. */
  | {readonly kind: 'cancel'; readonly attempt: AttemptId}
  /**
   * Asks for the status of an attempt whose link was lost. If the attempt was
   * not started, it must never be started after this.
   */
  | {
      readonly kind: 'inquire';
      readonly attempt: AttemptId;
      /** The member that the dispatch was sent to. */
      readonly to: MemberId;
    }
  /**
   * Status of an attempt: the reply to `inquire`, on the same link. `never`: it
   * was not started and never will be. `running`: the response of its run
   * follows from the first byte. `kept`: the kept copy of its response follows
   * from the first byte. `forgotten`: its outcome is no longer known.
   */
  | {
      readonly kind: 'fate';
      readonly attempt: AttemptId;
      readonly state: 'never' | 'running' | 'kept' | 'forgotten';
    };

/** Wire form of a committed log entry. */
export interface LoggedEntry {
  readonly version: Version;
  /** Revision of its log row in the store. */
  readonly revision: number;
  /** JSON text of the entry. */
  readonly text: string;
}

/**
 * Messages of the control plane: membership, leases, log replication and load
 * reports.
 */
export type ControlMessage =
  /** Asks a grantor for a lease grant, to renew the sender's lease. */
  | {
      readonly kind: 'renew';
      readonly member: MemberId;
      /** Id of this renewal, which the reply repeats; each has its own. */
      readonly round: number;
      /** Revision of the sender's row. */
      readonly row: number;
      /** Log version of the sender's map. */
      readonly version: Version;
      /** Version of the sender's configuration. */
      readonly configuration: number;
    }
  /** Reply to `renew`. */
  | {
      readonly kind: 'renewed';
      /** Id of the renewal. */
      readonly round: number;
      readonly granted: boolean;
      /**
       * Why the lease was not granted; empty if it was.
       *
       * - `ended`: the member was removed from the workspace.
       * - `unknown`: the grantor's map doesn't list the member.
       * - `closed`: the grantor has revoked the member.
       * - `no-lease`: the grantor itself has no valid lease (R4).
       * - `behind`: the member's configuration was outdated for too long.
       */
      readonly reason: string;
      /** Log version of the sender's map. */
      readonly version: Version;
      /** Version of the sender's configuration. */
      readonly configuration: number;
    }
  /**
   * Asks a grantor to revoke a member: to promise never to grant this
   * incarnation a lease again. An eviction needs this promise of every grantor
   * that the member's row names, unless the grantor itself was removed long
   * enough ago (R2). It closes no link: `close` and `closed` mean revoke and
   * revoked. `round` is always 0; the reply repeats it, and nothing uses it.
   */
  | {readonly kind: 'close'; readonly member: MemberId; readonly round: number}
  /** Reply to `close`: whether the sender has revoked the member. */
  | {
      readonly kind: 'closed';
      readonly member: MemberId;
      readonly round: number;
      /** False while a lease that the sender granted is still valid. */
      readonly closed: boolean;
    }
  /** Reports a member that is silent at the sender, to have it evicted (R2). */
  | {
      readonly kind: 'suspect';
      readonly member: MemberId;
      /** Revision of the member's row that the sender last learned, or 0. */
      readonly row: number;
      /**
       * Time since the sender first learned this revision of the row, in
       * milliseconds. It tells how long the row, not the member, is unchanged.
       */
      readonly quietMs: number;
    }
  /**
   * Tells the sender of `suspect`, or a former grantor, that it need not report
   * the member: its lease is granted by other members.
   */
  | {readonly kind: 'cleared'; readonly member: MemberId}
  /**
   * State of the external configuration source, for a member with an older
   * configuration.
   */
  | {
      readonly kind: 'configuration';
      /** Version of the configuration. */
      readonly number: number;
      readonly document: string;
      /** Evacuated availability zones. */
      readonly zonesOut: readonly ZoneName[];
    }
  /**
   * Tells the number of the sender's external configuration. A receiver with a
   * newer one replies with it; one with an older one asks for it by telling its
   * own number.
   */
  | {readonly kind: 'configurationNumber'; readonly number: number}
  /** The same of a member that watches the external source, as it answers. */
  | {
      readonly kind: 'configurationConfirmed';
      readonly number: number;
      /**
       * Age of the proof that the sender's configuration is the newest one, in
       * milliseconds.
       */
      readonly ageMs: number;
      /** Age of the source's last answer to the sender, in milliseconds. */
      readonly answerAgeMs: number;
      /** Why the newest document of the source is invalid; empty if it isn't. */
      readonly fault: string;
    }
  /**
   * Requests the entries after a version; the reply is always `entries`. It
   * also tells the receiver the log version of the sender's map, so that a
   * receiver that is behind requests entries in turn.
   */
  | {readonly kind: 'pull'; readonly after: Version}
  /** Entries of the log: the reply to `pull`, or a new entry that is pushed. */
  | {
      readonly kind: 'entries';
      readonly entries: readonly LoggedEntry[];
      /** Log version of the sender's map. */
      readonly version: Version;
    }
  /**
   * Asks the receiver to commit a change of the sender, which need not be a
   * member yet.
   */
  | {
      readonly kind: 'propose';
      /** JSON text of a `Proposal`. */
      readonly change: string;
    }
  /** Load of the sender, reported to the coordinator. */
  | {
      readonly kind: 'load';
      readonly service: ServiceName;
      /** Its busiest slices. */
      readonly slices: readonly Slice[];
      /** Load in mean busy slots, in the order of `slices`. */
      readonly rates: readonly number[];
      /** Load of all slices of the sender, in mean busy slots. */
      readonly total: number;
      /** Mean run time at the sender's server, in ms; 0 if unknown. */
      readonly runMs: number;
    }
  /**
   * Requests of tenants with a quota at the sender, reported to the member that
   * divides the quotas. It replies with `quotaShares`.
   */
  | {
      readonly kind: 'quotaDemand';
      /** Version of the sender's configuration, by which tenants are counted. */
      readonly configuration: number;
      /** Number of the report; rises with each report of the sender. */
      readonly sequence: number;
      /** `round` of the latest shares that the sender applied; 0 for none. */
      readonly applied: number;
      /** Whether tenants are left out whose requests changed. */
      readonly partial: boolean;
      /** Positions of the tenants in the configuration. */
      readonly tenants: readonly number[];
      /** Requests admitted since the sender joined, modulo 2 to the power of 30. */
      readonly admitted: readonly number[];
      /** Requests, rejected ones included, in tenths of a request per second. */
      readonly rates: readonly number[];
    }
  /** Requests that the receiver may admit; the reply to `quotaDemand`. */
  | {
      readonly kind: 'quotaShares';
      readonly configuration: number;
      /** Number of the report that is answered. */
      readonly sequence: number;
      /** Number of the message; rises by one with each to the same receiver. */
      readonly round: number;
      /** Positions of the tenants in the configuration. */
      readonly tenants: readonly number[];
      /**
       * Requests of each tenant that the receiver may admit beyond those in the
       * report, within 2 s after it sent the report.
       */
      readonly permits: readonly number[];
    };

/** Any message between two daemons. */
export type Message = RequestMessage | ControlMessage;
