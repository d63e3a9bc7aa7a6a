/**
 * @fileoverview State of the attempts that a daemon runs at the local backend
 * server.
 */

import type {ClientRequest, IncomingMessage} from 'node:http';

import type {ByteQueue} from '../http/byte_blocks.js';
import type {AttemptId, Dispatch, Header, MemberId} from '@jackdawfall/core';

/**
 * An attempt sent to this daemon, with its body, connection and response. The
 * reducer keeps its own record of the attempt and decides when it runs.
 */
export interface ReceivedAttempt {
  readonly attempt: AttemptId;
  readonly dispatch: Dispatch;
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
  run: Run | null;
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
