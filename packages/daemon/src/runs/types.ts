/**
 * @fileoverview State of the attempts that a daemon runs at the local backend
 * server, and the dependencies of their executor.
 */

import type {ClientRequest, IncomingMessage} from 'node:http';

import type {
  Announcement,
  AttemptId,
  CostKey,
  Dispatch,
  Event,
  Header,
  MemberId,
  MemoryBudget,
  Message,
  ServiceName,
  Slice,
  WorkReport,
} from '@jackdawfall/core';

import type {ServerProtocol} from '../adapters/types.js';
import type {KeptResponseLimits} from './kept.js';
import type {ByteQueue} from '../http/byte_blocks.js';

/**
 * An attempt sent to this daemon, with its body, connection and response. The
 * reducer keeps its own record of the attempt and decides when it runs.
 */
export interface ReceivedAttempt {
  readonly attempt: AttemptId;
  /** Without headers and path once its run has ended. */
  dispatch: Dispatch;
  /** The part of the request body not yet written to the backend server. */
  readonly unwritten: ByteQueue;
  bodyEnded: boolean;
  /**
   * Whether the link with its origin was lost before the end of its body, of
   * which a part may be missing.
   */
  bodyLost: boolean;
  /** Whether there was no memory for its body; it is not run. */
  bodyDropped: boolean;
  /** Whether a run is scheduled but hasn't started. */
  startScheduled: boolean;
  /** The run under way, or null before and after it. */
  run: Run | null;
  /** Whether its run has ended, so that it isn't run again. */
  ended: boolean;
  /** Receivers of the response. */
  streams: ResponseStream[];
  /** The response so far, kept for replay, or null if it isn't kept. */
  kept: KeptResponse | null;
}

/** One receiver of a response, with its flow control. */
export interface ResponseStream {
  /** The attempt that the receiver associates with the response. */
  readonly attempt: AttemptId;
  readonly to: MemberId;
  /** Number of bytes that may still be sent. */
  credit: number;
}

/** The execution of an attempt at the backend server. */
export interface Run {
  readonly outgoing: ClientRequest;
  incoming: IncomingMessage | null;
  /** Whether bytes may have reached the backend server. */
  written: boolean;
  /**
   * Whether the run is over: its response is complete or was a refusal, or it
   * failed or was cancelled. Later events of its connection have no effect.
   */
  finished: boolean;
  /** Monotonic time of the last activity, in milliseconds. */
  lastActivityMs: number;
  /** Monotonic time at which the run is aborted, in milliseconds. */
  readonly expiresMs: number;
  /** Bytes that its connection had received before this request. */
  bytesReadBefore: number;
  /** Bytes of the response body so far. */
  bodyBytes: number;
}

/** The head of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly Header[];
}

/** A response kept for replay. */
export interface KeptResponse {
  head: ResponseHead | null;
  readonly chunks: Uint8Array[];
  bytes: number;
  complete: boolean;
}

/** Dependencies of the executor. */
export interface RunExecutorContext {
  emit(event: Event): void;
  transmit(to: MemberId, message: Message): void;
  /**
   * Whether this daemon may hand work of the slice to its backend server now
   * (rule R1): it owns the slice, which is ready here, and holds a valid lease;
   * for a null slice, whether it may run work of a shared service. It is
   * checked again before a request is written, since that may change while the
   * connection is being opened.
   */
  mayWrite(service: ServiceName, slice: Slice | null): boolean;
  /** Memory budget of the process. */
  readonly budget: MemoryBudget;
  /** Flow-control window of a response, in bytes. */
  readonly windowBytes: number;
  /** Time to wait for a connection to open, in milliseconds. */
  readonly silenceMs: number;
  /**
   * Time without activity on a run, in milliseconds, after which new runs use
   * new connections to the server.
   */
  readonly silentRunMs: number;
  readonly protocol: ServerProtocol;
  /**
   * The work of the backend server and the expected run time of a class, as
   * origins are told.
   */
  workReport(key: CostKey): WorkReport;
  /**
   * Called when no connection to the server can be opened, since nothing
   * listens at its address. This isn't a refusal of a request by the server.
   *
   * @param server - The server.
   * @param isAlive - Whether its process is known to be alive nevertheless.
   */
  onServerUnreachable(server: Announcement, isAlive: boolean): void;
  readonly keptLimits: KeptResponseLimits;
}
