/**
 * @fileoverview Events that go into the reducer, and effects that come out of
 * it. The runtime emits the events and performs the effects. The reducer itself
 * uses no clock, socket or random source.
 */

import type {Instant} from '../clock/types.js';
import type {Failure, RunState} from '../errors/types.js';
import type {
  Address,
  AttemptId,
  CallId,
  CostClass,
  Generation,
  InstanceId,
  MemberId,
  RequestId,
  ServiceName,
  Slice,
  TenantName,
  Version,
  ZoneName,
} from '../ids/types.js';
import type {LogEventName} from '../log_events/catalogue.js';
import type {Message} from '../messages/types.js';
import type {StoreCall, StoreReply} from '../store/types.js';
import type {Priority} from '../workspace/types.js';

/**
 * Announcement of the local backend server: the decoded form of the server's
 * heartbeat call.
 */
export interface Announcement {
  readonly instance: InstanceId;
  readonly service: ServiceName;
  /** Address that the daemon sends requests to. */
  readonly address: Address;
  /** Requests it can run at the same time. */
  readonly slots: number;
  /** Connections it accepts. */
  readonly connections: number;
  /**
   * Whether it refuses requests under a slice grant that is outdated or
   * expired.
   */
  readonly checksGrants: boolean;
  /** True once it asks for no new work because it is shutting down. */
  readonly leaving: boolean;
  /**
   * Its cold start; null if it reports none. Its concurrency limit is then
   * learnt.
   */
  readonly coldStart: ColdStart | null;
}

/** Rate limit of a backend server that is still warming up. */
export interface ColdStart {
  /** Time until it is warm, in milliseconds; 0 when it is warm. */
  readonly remainingMs: number;
  /** Maximum number of requests a second until then. */
  readonly perSecond: number;
}

/** Configuration and evacuated zones as published by an external source. */
export interface ExternalConfiguration {
  /** Sequence number of the source; rises with every change. */
  readonly number: number;
  /** JSON text of the workspace, validated by the reader of the source. */
  readonly document: string;
  /** Availability zones that are evacuated: their servers get no new work. */
  readonly zonesOut: readonly ZoneName[];
}

/** Consecutive slices that a backend server holds under one fencing token. */
export interface SliceGrant {
  readonly first: Slice;
  readonly count: number;
  readonly generation: Generation;
  /**
   * Opaque token from the previous server, passed on to the next one; or null.
   */
  readonly handover: string | null;
}

/** Head of a caller's request, after it was matched to a route. */
export interface AcceptedRequest {
  readonly request: RequestId;
  readonly service: ServiceName;
  readonly slice: Slice | null;
  readonly idempotent: boolean;
  readonly priority: Priority;
  readonly timeoutMs: number;
  /** Latency objective of the response, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
  /** Maximum number of attempts of the request, or null for the default. */
  readonly maxAttempts: number | null;
  readonly idempotencyKey: string | null;
  /** The tenant that sent it, or null if it carried no API key. */
  readonly tenant: TenantName | null;
  /** Order among waiting requests; lower values go first. */
  readonly urgency: number;
  /** Class of its run time; 0 unless scheduling goes by cost. */
  readonly costClass: CostClass;
}

/** A command of an operator, sent to any daemon. */
export type Command =
  | {readonly kind: 'status'}
  /** Short status of the daemon that was asked, for polling. */
  | {readonly kind: 'progress'}
  | {readonly kind: 'map'; readonly service: ServiceName}
  | {
      readonly kind: 'apply';
      /** Version that the document is based on; 0 for a new workspace. */
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
  /** Drains the newest member on a host. */
  | {readonly kind: 'stopServer'; readonly host: string; readonly by: string}
  /** Removes a member from the workspace, by an eviction. */
  | {
      readonly kind: 'endMember';
      readonly member: MemberId;
      readonly by: string;
    }
  | {readonly kind: 'audit'; readonly limit: number};

/** Result of a command. */
export type CommandResult =
  /** `body` is JSON text. */
  | {readonly kind: 'ok'; readonly body: string}
  | {readonly kind: 'conflict'; readonly detail: string}
  | {readonly kind: 'rejected'; readonly detail: string}
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The write may or may not have taken effect. */
  | {readonly kind: 'unknown'; readonly detail: string};

/** The events that the reducer handles. */
export type Event =
  /** Emitted every `loop.tickMs`. */
  | {readonly kind: 'ticked'}
  /** The time of a `startTimer` effect has passed. */
  | {readonly kind: 'timerFired'}
  | {
      readonly kind: 'messageReceived';
      readonly from: MemberId;
      readonly message: Message;
    }
  | {readonly kind: 'linkOpened'; readonly peer: MemberId}
  /**
   * The link was closed, went silent or could not be opened; the runtime opens
   * another on demand. Reported once for each link and once for each failed try
   * to open one. The runtime reads nothing more from a link reported as lost.
   */
  | {readonly kind: 'linkLost'; readonly peer: MemberId}
  /**
   * The attempt's dispatch was not sent and never will be: no byte of it was
   * handed to a link, since no link opened in time or the peer turned out to be
   * another member.
   */
  | {readonly kind: 'dispatchNotSent'; readonly attempt: AttemptId}
  | {
      readonly kind: 'storeReplied';
      readonly call: CallId;
      readonly reply: StoreReply;
    }
  /** The local backend server announced itself, for the first time or again. */
  | {readonly kind: 'announcementReceived'; readonly announcement: Announcement}
  /**
   * The local backend server did not repeat its announcement in time, or its
   * process is known to have ended.
   */
  | {
      readonly kind: 'announcementExpired';
      readonly instance: InstanceId;
      /**
       * Whether its process is known to have ended, since nothing accepts
       * connections.
       */
      readonly processEnded: boolean;
    }
  /** A caller sent a request; the runtime buffers its body. */
  | {readonly kind: 'requestAccepted'; readonly accepted: AcceptedRequest}
  /**
   * The caller disconnected before its response was complete; not after
   * `failRequest`.
   */
  | {readonly kind: 'callerDisconnected'; readonly request: RequestId}
  /** The whole response was handed to the caller's connection. */
  | {readonly kind: 'responseDelivered'; readonly request: RequestId}
  /**
   * The runtime is about to write the attempt's first byte to a connection of
   * the backend server. It writes only once this event has been handled without
   * a `cancelRun` effect for the attempt.
   */
  | {readonly kind: 'runWriteStarting'; readonly attempt: AttemptId}
  /** The backend server's status and headers arrived. */
  | {
      readonly kind: 'runHeadReceived';
      readonly attempt: AttemptId;
      readonly status: number;
      /**
       * The server refused the request before running it. The protocol of the
       * backend server decides which responses mean that; the built-in one
       * takes 503 with `x-not-run: 1`. The runtime sends nothing of such a
       * response to the origin, and reports neither `runEnded` nor `runFailed`
       * after it.
       */
      readonly refused: boolean;
    }
  /** The last byte of the response arrived; `end` was sent to the origin. */
  | {readonly kind: 'runEnded'; readonly attempt: AttemptId}
  /**
   * The run ended without a complete response; the runtime sent the origin no
   * message about that. Not reported after `cancelRun`.
   */
  | {
      readonly kind: 'runFailed';
      readonly attempt: AttemptId;
      /** `not-run` only if no byte was written to any connection. */
      readonly run: RunState;
      readonly detail: string;
    }
  /** The external source of configuration reported its newest state. */
  | {
      readonly kind: 'configurationRead';
      readonly configuration: ExternalConfiguration;
    }
  /**
   * A poll of that source has ended: its answer, if there was one, confirms that
   * the newest state that was reported is current.
   */
  | {
      readonly kind: 'sourcePolled';
      /** Maximum age of the answer, in milliseconds; Infinity without one. */
      readonly answerAgeMs: number;
      /**
       * Whether the newest state of the source is the newest configuration; it
       * may not be right after the source was restored.
       */
      readonly provesNewest: boolean;
      /**
       * Why the newest document of the source is invalid, or null if it is valid
       * or there is none.
       */
      readonly fault: string | null;
    }
  /** The backend server accepted a slice grant, new or repeated. */
  | {
      readonly kind: 'slicesGranted';
      readonly service: ServiceName;
      readonly grant: SliceGrant;
      /** Round of the `grantSlices` effect. */
      readonly round: number;
    }
  /** The call for a slice grant ended without a confirmation. */
  | {
      readonly kind: 'sliceGrantFailed';
      readonly grant: SliceGrant;
      /** Whether anything was written, so that the grant may take effect. */
      readonly written: boolean;
      /** Round of the `grantSlices` effect. */
      readonly round: number;
    }
  /** The backend server released slices; nothing runs on them any more. */
  | {
      readonly kind: 'slicesReleased';
      readonly service: ServiceName;
      readonly grant: SliceGrant;
      /** Round of the `releaseSlices` effect. */
      readonly round: number;
      /** Opaque token for the next server, or null if the server gave none. */
      readonly handover: string | null;
    }
  | {
      readonly kind: 'commandReceived';
      readonly command: Command;
      readonly token: number;
    }
  /** The process was asked to stop. */
  | {readonly kind: 'stopRequested'};

/** An event with the time and randomness that it is handled with. */
export interface Input {
  readonly at: Instant;
  /** Uniform in [0, 1). */
  readonly random: number;
  readonly event: Event;
}

/** The effects that the reducer may ask the runtime to perform. */
export type Effect =
  /**
   * Send one message. A message to this daemon itself arrives as a
   * `messageReceived` event after the current event. If `address` is null, the
   * runtime uses a link that is already open in either direction, or drops the
   * message and reports nothing. A message is also lost with its link, or if
   * none can be opened; then only `linkLost` is reported, not which messages
   * were lost. The runtime never sends a message twice.
   */
  | {
      readonly kind: 'send';
      readonly to: MemberId;
      readonly address: Address | null;
      readonly message: Message;
    }
  /** Emit `timerFired` after this time; several may be outstanding. */
  | {readonly kind: 'startTimer'; readonly afterMs: number}
  | {
      readonly kind: 'callStore';
      readonly call: CallId;
      readonly request: StoreCall;
      readonly timeoutMs: number;
    }
  /**
   * Send an attempt of the request as a `dispatch` message. The runtime adds
   * method, path, headers and the body that it buffers for `request`, each time
   * from its beginning. It keeps the whole body until the request is over
   * (bodies are at most `maxBodyBytes`), so that a later attempt can send it
   * again.
   *
   * - If `to` is this daemon, a `messageReceived` event follows the current
   *   event.
   * - The dispatch is written to one link, once; it is never repeated on
   *   another link. If no byte was handed to a link when the link fails or does
   *   not open within `links.silenceMs`, the runtime discards it, never sends
   *   it, and reports `dispatchNotSent`. A loss after that is reported as
   *   `linkLost`.
   * - The peer must be exactly the member `to`; if another incarnation is at
   *   the address, the runtime reports `dispatchNotSent`.
   * - Response bytes for the attempt are buffered (at most `links.windowBytes`,
   *   by credit) until `relayResponse` or `discardAttempt`.
   */
  | {
      readonly kind: 'sendDispatch';
      readonly attempt: AttemptId;
      readonly request: RequestId;
      readonly to: MemberId;
      readonly address: Address;
      /** Remaining time of the attempt, in milliseconds. */
      readonly budgetMs: number;
      readonly version: Version;
    }
  /**
   * Send the attempt to the backend server.
   *
   * - It is sent once, on one connection; neither the runtime nor its HTTP
   *   agent repeats it on another.
   * - Report `runWriteStarting` before the first byte, then `runHeadReceived`
   *   and one of `runEnded` and `runFailed`.
   * - Meanwhile send `head`, `data` and `end` to `origin` over any open link;
   *   while there is none, buffer the bytes (at most `links.windowBytes`, then
   *   stop reading).
   * - Abort when `budgetMs` has passed (`runFailed`); the header
   *   `x-jackdawfall-deadline-ms` tells the server that time.
   * - If opening a connection takes longer than `links.silenceMs`, the run
   *   fails as `not-run`.
   * - A connection that failed or was aborted is never reused.
   * - Unless `keepResponse` is set, free everything once `end` was sent.
   */
  | {
      readonly kind: 'run';
      readonly attempt: AttemptId;
      readonly origin: MemberId;
      readonly service: ServiceName;
      readonly slice: Slice | null;
      readonly generation: Generation;
      /** Remaining time of the run, in milliseconds. */
      readonly budgetMs: number;
      /**
       * Keep the response from its first byte until `discardAttempt`, so that
       * `replayResponse` can send it again. It is dropped if larger than
       * `execution.keptAnswerBytes`, or when all kept responses exceed
       * `execution.keptTotalBytes`.
       */
      readonly keepResponse: boolean;
    }
  /**
   * Abort the run by closing its connection, or drop it if no byte was written
   * yet. The runtime reports nothing more about the attempt and sends nothing
   * more to its origin.
   */
  | {readonly kind: 'cancelRun'; readonly attempt: AttemptId}
  /**
   * Send the response of the attempt `original` to `to` from its first byte,
   * under the id `attempt`; while `original` still runs, later bytes follow as
   * they arrive. If `attempt` equals `original`, this replaces the earlier
   * stream, which stops. If the kept bytes were dropped, send `failed` with
   * `link-lost` and `unknown` instead.
   */
  | {
      readonly kind: 'replayResponse';
      readonly attempt: AttemptId;
      readonly original: AttemptId;
      readonly to: MemberId;
    }
  /**
   * Free everything stored for an attempt: at the executing daemon the head and
   * body of a queued request and a kept response, at the origin buffered
   * response bytes. Later messages for it are discarded. Unknown attempts are
   * ignored.
   */
  | {readonly kind: 'discardAttempt'; readonly attempt: AttemptId}
  /**
   * Stream this attempt's response to the caller. The runtime may buffer the
   * response until it is complete or exceeds 64 KiB, so that a truncated short
   * response becomes an error response. After the last byte report
   * `responseDelivered`. When the response starts again from its beginning
   * after a `fate` message, bytes already written to the caller are skipped.
   */
  | {
      readonly kind: 'relayResponse';
      readonly request: RequestId;
      readonly attempt: AttemptId;
    }
  /**
   * End the request: send the caller the error, or close the connection if a
   * byte of a response was written to it. Free the body. Neither
   * `responseDelivered` nor `callerDisconnected` follows.
   */
  | {
      readonly kind: 'failRequest';
      readonly request: RequestId;
      readonly failure: Failure;
    }
  /**
   * Send slice grants to the backend server; report `slicesGranted` for each
   * one that it confirms and `sliceGrantFailed` for each other one.
   */
  | {
      readonly kind: 'grantSlices';
      readonly service: ServiceName;
      /** Number of slices of the whole service. */
      readonly slices: number;
      readonly grants: readonly SliceGrant[];
      /** Number of this effect. */
      readonly round: number;
      /**
       * The time to live that is sent is the time until this instant when the
       * call is written; nothing is written after it.
       */
      readonly until: Instant;
      /** Time after which the call is given up, in milliseconds. */
      readonly timeoutMs: number;
    }
  /**
   * Ask the backend server to release slices; report `slicesReleased` for each
   * grant that it confirms, and nothing for the others.
   */
  | {
      readonly kind: 'releaseSlices';
      readonly service: ServiceName;
      readonly slices: number;
      readonly grants: readonly SliceGrant[];
      /** Number of this effect; grants and releases share the numbers. */
      readonly round: number;
    }
  | {
      readonly kind: 'log';
      readonly event: LogEventName;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    }
  | {
      readonly kind: 'recordDuration';
      readonly histogram: HistogramName;
      readonly valueMs: number;
    }
  | {
      readonly kind: 'reply';
      readonly token: number;
      readonly result: CommandResult;
    }
  /** An invariant is broken: log it and terminate the process. */
  | {
      readonly kind: 'panic';
      readonly invariant: string;
      readonly detail: string;
    }
  /**
   * The requested stop is complete, or its deadline has passed: exit the
   * process.
   */
  | {readonly kind: 'exitProcess'};

/** Latency histograms. */
export type HistogramName =
  | 'request'
  | 'queue'
  | 'run'
  | 'renewal'
  | 'store'
  | 'loopLag'
  | 'sliceGrant'
  | 'retryAfter';
