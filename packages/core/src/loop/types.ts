/**
 * @fileoverview Events that go into the reducer and effects that come out of
 * it. The reducer knows no clock, socket or random source of its own.
 */

import type {Instant} from '../clock/types.js';
import type {Failure, RunState} from '../errors/types.js';
import type {
  Address,
  AttemptId,
  CallId,
  Generation,
  InstanceId,
  MemberId,
  RequestId,
  ServiceName,
  Slice,
  Version,
  ZoneName,
} from '../ids/types.js';
import type {LogEventName} from '../logs/catalogue.js';
import type {Message} from '../messages/types.js';
import type {StoreCall, StoreReply} from '../store/types.js';
import type {Priority} from '../workspace/types.js';

/** What a backend server says of itself when it announces itself. */
export interface Announcement {
  readonly instance: InstanceId;
  readonly service: ServiceName;
  /** Address the daemon sends work to. */
  readonly address: Address;
  /** Requests it can run at the same time. */
  readonly slots: number;
  /** Connections it accepts. */
  readonly connections: number;
  /** Whether it refuses work under an older grant. */
  readonly checksGrants: boolean;
  /** True when it asks to leave: no new work, please. */
  readonly leaving: boolean;
  /** What it says of its cold start; null if its limits have to be learnt. */
  readonly coldStart: ColdStart | null;
}

/** What a backend server bears while it is cold. */
export interface ColdStart {
  /** Time until it is warm, in milliseconds; 0 when it is warm. */
  readonly remainingMs: number;
  /** Most requests a second meanwhile. */
  readonly perSecond: number;
}

/** Configuration and closed zones as an outside source orders them. */
export interface ExternalConfiguration {
  /** Place in the source's order; rises with every change. */
  readonly number: number;
  /** JSON text of the workspace, checked by the source's reader. */
  readonly document: string;
  /** Availability zones that take no new work. */
  readonly zonesOut: readonly ZoneName[];
}

/** Consecutive slices that a backend server holds under one fence. */
export interface SliceGrant {
  readonly first: Slice;
  readonly count: number;
  readonly generation: Generation;
  /** What the previous holder handed over, or null. */
  readonly handover: string | null;
}

/** The head of a caller's request, after its route was found. */
export interface AcceptedRequest {
  readonly request: RequestId;
  readonly service: ServiceName;
  readonly slice: Slice | null;
  readonly idempotent: boolean;
  readonly priority: Priority;
  readonly timeoutMs: number;
  /** Servers that the request may be sent to, or null for the default. */
  readonly maxAttempts: number | null;
  readonly idempotencyKey: string | null;
}

/** An operator's command, given to any daemon. */
export type Command =
  | {readonly kind: 'status'}
  /** How far the asked daemon is; small, for repeated questions. */
  | {readonly kind: 'progress'}
  | {readonly kind: 'map'; readonly service: ServiceName}
  | {
      readonly kind: 'apply';
      /** Version the operator has read; 0 for a new workspace. */
      readonly basedOn: number;
      /** JSON text of the new configuration document. */
      readonly document: string;
      readonly by: string;
    }
  | {
      readonly kind: 'zone';
      readonly zone: string;
      readonly out: boolean;
      readonly by: string;
    }
  | {readonly kind: 'stopServer'; readonly host: string; readonly by: string}
  | {
      readonly kind: 'endMember';
      readonly member: MemberId;
      readonly by: string;
    }
  | {readonly kind: 'audit'; readonly limit: number};

/** The result of a command. */
export type CommandResult =
  /** `body` is a JSON text. */
  | {readonly kind: 'ok'; readonly body: string}
  | {readonly kind: 'conflict'; readonly detail: string}
  | {readonly kind: 'rejected'; readonly detail: string}
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The write may or may not have taken effect. */
  | {readonly kind: 'unknown'; readonly detail: string};

/** Everything that can happen to a daemon. */
export type Event =
  /** Time has passed; comes every `TICK_MS`. */
  | {readonly kind: 'ticked'}
  /** The time asked for by a `wake` effect has passed. */
  | {readonly kind: 'woken'}
  | {
      readonly kind: 'received';
      readonly from: MemberId;
      readonly message: Message;
    }
  | {readonly kind: 'linkOpened'; readonly peer: MemberId}
  /**
   * The link is gone, went silent, or could not be opened; the runner opens
   * another on demand. Reported once for each link and for each failed try.
   * The runner reads nothing more from a link that it has reported as lost.
   */
  | {readonly kind: 'linkLost'; readonly peer: MemberId}
  /**
   * No byte of the attempt's dispatch was handed to a link, and none ever will
   * be: the link could not be opened in time or the peer is another member.
   */
  | {readonly kind: 'unsent'; readonly attempt: AttemptId}
  | {
      readonly kind: 'storeReplied';
      readonly call: CallId;
      readonly reply: StoreReply;
    }
  /** The backend server beside this daemon announced itself (again). */
  | {readonly kind: 'announced'; readonly announcement: Announcement}
  /** It did not announce itself in time. */
  | {
      readonly kind: 'announcementLapsed';
      readonly instance: InstanceId;
      /** Whether its process is known to have ended: nothing listens there. */
      readonly ended: boolean;
    }
  /** A caller's request; its body is held by the runner. */
  | {readonly kind: 'taken'; readonly accepted: AcceptedRequest}
  /** The caller hung up before its answer was whole; not after `fail`. */
  | {readonly kind: 'hungUp'; readonly request: RequestId}
  /** The whole answer was handed to the caller's connection. */
  | {readonly kind: 'answered'; readonly request: RequestId}
  /**
   * The runner is about to write the attempt's first byte to a connection of
   * the backend server. It writes only after this event was handled and no
   * `cancelRun` for the attempt came out of it.
   */
  | {readonly kind: 'runWritten'; readonly attempt: AttemptId}
  /** The backend server's status and headers arrived. */
  | {
      readonly kind: 'runHead';
      readonly attempt: AttemptId;
      readonly status: number;
      /**
       * The server refused before running (503 with `x-not-run: 1`). The
       * runner sends nothing of such an answer to the origin, and reports
       * neither `runEnded` nor `runFailed` after it.
       */
      readonly shed: boolean;
    }
  /** The answer's last byte arrived; `end` was sent to the origin. */
  | {readonly kind: 'runEnded'; readonly attempt: AttemptId}
  /**
   * The run ended without a whole answer; nothing was sent to the origin for
   * it. Not reported after `cancelRun`.
   */
  | {
      readonly kind: 'runFailed';
      readonly attempt: AttemptId;
      /** `not-run` only if no byte was written to any connection. */
      readonly run: RunState;
      readonly detail: string;
    }
  /** An outside source of configuration told its newest state. */
  | {
      readonly kind: 'configurationRead';
      readonly configuration: ExternalConfiguration;
    }
  /** The backend server took slices of a grant, or took them again. */
  | {
      readonly kind: 'keysGranted';
      readonly service: ServiceName;
      readonly grant: SliceGrant;
      /** Round of the `grant` effect. */
      readonly round: number;
    }
  /** The backend server gave slices back; nothing runs on them any more. */
  | {
      readonly kind: 'keysReleased';
      readonly service: ServiceName;
      readonly grant: SliceGrant;
      /** For the next holder, or null if the server said nothing. */
      readonly handover: string | null;
    }
  | {
      readonly kind: 'commanded';
      readonly command: Command;
      readonly token: number;
    }
  /** The process was asked to stop. */
  | {readonly kind: 'stopRequested'};

/** An event with the moment and randomness it is handled with. */
export interface Input {
  readonly at: Instant;
  /** Uniform in [0, 1). */
  readonly random: number;
  readonly event: Event;
}

/** Everything the reducer may ask of the runner. */
export type Effect =
  /**
   * Send one message. To this daemon itself it arrives as a `received` event
   * after the current event. `address` null: use a link that is open in either
   * direction, else drop the message. A message that can't be sent is dropped
   * and `linkLost` reported; the runner never sends a message twice.
   */
  | {
      readonly kind: 'send';
      readonly to: MemberId;
      readonly address: Address | null;
      readonly message: Message;
    }
  /** Emit `woken` after this time; several may be outstanding. */
  | {readonly kind: 'wake'; readonly afterMs: number}
  /** Drop the link; the next send opens a new one. */
  | {readonly kind: 'dropLink'; readonly to: MemberId}
  | {
      readonly kind: 'callStore';
      readonly call: CallId;
      readonly request: StoreCall;
      readonly timeoutMs: number;
    }
  /**
   * Send the request as a `dispatch` message; the runner adds method, path,
   * headers and the body it holds under `request`, from its beginning, each
   * time. It keeps the whole body until the request is over (bodies are at
   * most `maxBodyBytes`), so that a later attempt can send it again.
   *
   * - `to` is this daemon: a `received` event after the current event.
   * - The dispatch is written to one link, once; it is never repeated on
   *   another link. If no byte was handed to a link when the link fails or
   *   does not open within `links.silenceMs`, the runner drops it for good and
   *   reports `unsent`. Once handed over, a loss is a `linkLost`.
   * - The link must lead to exactly the member `to`; another incarnation at
   *   the same address is `unsent`.
   * - Answer bytes for the attempt are buffered (at most `links.windowBytes`,
   *   by credit) until `relay` or `forget`.
   */
  | {
      readonly kind: 'forward';
      readonly attempt: AttemptId;
      readonly request: RequestId;
      readonly to: MemberId;
      readonly address: Address;
      /** Time left for the attempt, in milliseconds. */
      readonly budgetMs: number;
      readonly version: Version;
    }
  /**
   * Write the attempt to the backend server, on one connection, once, never
   * repeated on another by the runner or its HTTP agent. Report `runWritten`
   * before the first byte, then `runHead` and one of `runEnded` and
   * `runFailed`. Meanwhile send `head`, `data` and `end` to `origin` over any
   * open link; while there is none, hold the bytes (at most
   * `links.windowBytes`, then stop reading). Abort when `budgetMs` has passed
   * (`runFailed`); the header `x-jackdawfall-deadline-ms` carries it. A
   * connection attempt that takes longer than `links.silenceMs` fails as
   * `not-run`. A connection that failed or was aborted is never reused. Unless
   * `keep` is set, free everything once `end` was sent.
   */
  | {
      readonly kind: 'run';
      readonly attempt: AttemptId;
      readonly origin: MemberId;
      readonly service: ServiceName;
      readonly slice: Slice | null;
      readonly generation: Generation;
      /** Time left for the run, in milliseconds. */
      readonly budgetMs: number;
      /**
       * Keep the answer from its first byte until `forget`, so that `replay`
       * can send it again; dropped if larger than `execution.keptAnswerBytes`
       * or when all kept answers exceed `execution.keptTotalBytes`.
       */
      readonly keepResponse: boolean;
    }
  /**
   * Abort the run by closing its connection, or drop it if no byte was
   * written yet. The runner reports nothing more for the attempt and sends
   * nothing more to its origin.
   */
  | {readonly kind: 'cancelRun'; readonly attempt: AttemptId}
  /**
   * Send the answer of `of` from its first byte to `to`, under the id
   * `attempt`; while `of` still runs, later bytes follow as they arrive. With
   * `attempt` equal to `of` it takes the place of the earlier stream, which
   * stops. If the kept bytes were dropped, send `failed` with `link-lost`,
   * `unknown` instead.
   */
  | {
      readonly kind: 'replay';
      readonly attempt: AttemptId;
      readonly original: AttemptId;
      readonly to: MemberId;
    }
  /**
   * Drop everything held for an attempt: at the owner a request head and body
   * that waits and a kept answer; at the origin buffered answer bytes. Later
   * messages for it are discarded. Unknown attempts are ignored.
   */
  | {readonly kind: 'forget'; readonly attempt: AttemptId}
  /**
   * Stream this attempt's answer to the caller. The runner may hold the head
   * back until the answer is whole or exceeds 64 KiB, so that a short answer
   * that is cut becomes an error answer. After the last byte report
   * `answered`. Bytes already written to the caller are skipped when the
   * answer comes again from its beginning after a `fate`.
   */
  | {
      readonly kind: 'relay';
      readonly request: RequestId;
      readonly attempt: AttemptId;
    }
  /**
   * The request is over: answer the caller with the error, or cut the
   * connection if a byte of an answer was written to it. Free the body.
   * Neither `answered` nor `hungUp` follows.
   */
  | {
      readonly kind: 'fail';
      readonly request: RequestId;
      readonly failure: Failure;
    }
  /**
   * Tell the backend server which slices it holds; report `keysGranted` for
   * each grant that it confirms.
   */
  | {
      readonly kind: 'grant';
      readonly service: ServiceName;
      /** Number of slices of the whole service. */
      readonly slices: number;
      readonly grants: readonly SliceGrant[];
      /** Number of this effect. */
      readonly round: number;
      /**
       * End of the lease. The time to live is what is left of it when the
       * call is written; after it nothing is written.
       */
      readonly until: Instant;
    }
  /**
   * Ask the backend server to give slices back; report `keysReleased` for
   * each grant that it confirms, and nothing for the others.
   */
  | {
      readonly kind: 'releaseKeys';
      readonly service: ServiceName;
      readonly slices: number;
      readonly grants: readonly SliceGrant[];
    }
  | {
      readonly kind: 'log';
      readonly event: LogEventName;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    }
  | {
      readonly kind: 'measure';
      readonly histogram: HistogramName;
      readonly valueMs: number;
    }
  | {
      readonly kind: 'reply';
      readonly token: number;
      readonly result: CommandResult;
    }
  /** An invariant is broken: stop the process loudly. */
  | {
      readonly kind: 'violate';
      readonly invariant: string;
      readonly detail: string;
    }
  /** Everything is handed over: the process may leave. */
  | {readonly kind: 'leave'};

/** Latencies that are measured. */
export type HistogramName = 'request' | 'queue' | 'run' | 'renewal' | 'store';
