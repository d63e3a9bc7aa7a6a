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
} from '../ids/types.js';
import type {LogName} from '../logs/catalogue.js';
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
}

/** The head of a caller's request, after its route was found. */
export interface TakenRequest {
  readonly request: RequestId;
  readonly service: ServiceName;
  readonly slice: Slice | null;
  readonly idempotent: boolean;
  readonly priority: Priority;
  readonly timeoutMs: number;
  readonly idempotencyKey: string | null;
}

/** An operator's command, given to any daemon. */
export type Command =
  | {readonly kind: 'status'}
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
  | {
      readonly kind: 'received';
      readonly from: MemberId;
      readonly message: Message;
    }
  | {readonly kind: 'linkOpened'; readonly peer: MemberId}
  /** The link is gone or went silent; the runner opens another on demand. */
  | {readonly kind: 'linkLost'; readonly peer: MemberId}
  | {
      readonly kind: 'storeReplied';
      readonly call: CallId;
      readonly reply: StoreReply;
    }
  /** The backend server beside this daemon announced itself (again). */
  | {readonly kind: 'announced'; readonly announcement: Announcement}
  /** It did not announce itself in time. */
  | {readonly kind: 'announcementLapsed'; readonly instance: InstanceId}
  /** A caller's request; its body is held by the runner. */
  | {readonly kind: 'taken'; readonly taken: TakenRequest}
  /** The caller hung up. */
  | {readonly kind: 'hungUp'; readonly request: RequestId}
  /** The caller has received its whole answer. */
  | {readonly kind: 'answered'; readonly request: RequestId}
  /** A run's first byte was written to the backend server. */
  | {readonly kind: 'runWritten'; readonly attempt: AttemptId}
  | {
      readonly kind: 'runHead';
      readonly attempt: AttemptId;
      readonly status: number;
      /** The server sheds load: it refused before running. */
      readonly shed: boolean;
    }
  | {readonly kind: 'runEnded'; readonly attempt: AttemptId}
  | {
      readonly kind: 'runFailed';
      readonly attempt: AttemptId;
      readonly run: RunState;
      readonly detail: string;
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
  | {
      readonly kind: 'send';
      readonly to: MemberId;
      readonly address: Address;
      readonly message: Message;
    }
  /** Drop the link; the next send opens a new one. */
  | {readonly kind: 'dropLink'; readonly to: MemberId}
  | {
      readonly kind: 'callStore';
      readonly call: CallId;
      readonly request: StoreCall;
      readonly timeoutMs: number;
    }
  /**
   * Send the request as an attempt; the runner adds head and body. When `to`
   * is this daemon, the attempt arrives as a `received` event at once.
   */
  | {
      readonly kind: 'forward';
      readonly attempt: AttemptId;
      readonly request: RequestId;
      readonly to: MemberId;
      readonly address: Address;
      readonly budgetMs: number;
      readonly version: Version;
    }
  /** Write the attempt to the backend server. */
  | {
      readonly kind: 'run';
      readonly attempt: AttemptId;
      readonly origin: MemberId;
      readonly generation: Generation;
      readonly budgetMs: number;
      /** Keep the whole answer for a replay, if it is small enough. */
      readonly keep: boolean;
    }
  | {readonly kind: 'cancelRun'; readonly attempt: AttemptId}
  /** Send the answer of `of` again, from its beginning, as `attempt`. */
  | {
      readonly kind: 'replay';
      readonly attempt: AttemptId;
      readonly of: AttemptId;
      readonly to: MemberId;
    }
  /** Drop what the runner keeps of an attempt. */
  | {readonly kind: 'forget'; readonly attempt: AttemptId}
  /** Stream this attempt's answer to the caller. */
  | {
      readonly kind: 'relay';
      readonly request: RequestId;
      readonly attempt: AttemptId;
    }
  /** Answer the caller with an error, or cut its answer if begun. */
  | {
      readonly kind: 'fail';
      readonly request: RequestId;
      readonly failure: Failure;
    }
  /** Tell the backend server which slices it holds. */
  | {
      readonly kind: 'grant';
      readonly service: ServiceName;
      readonly slices: readonly Slice[];
      readonly generations: readonly Generation[];
      readonly ttlMs: number;
    }
  | {
      readonly kind: 'log';
      readonly event: LogName;
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
export type HistogramName =
  'request' | 'queue' | 'run' | 'renewal' | 'store' | 'unserved';
