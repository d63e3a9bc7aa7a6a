/** @fileoverview What the daemon beside a backend server keeps of attempts. */

import type {ClientRequest, IncomingMessage} from 'node:http';

import type {AttemptId, Dispatch, Header, MemberId} from '@jackdawfall/core';

/** An attempt sent to this daemon. */
export interface ReceivedAttempt {
  readonly attempt: AttemptId;
  readonly dispatch: Dispatch;
  /** Parts of the body that no backend connection has taken yet. */
  readonly bodyChunks: Uint8Array[];
  bodyEnded: boolean;
  /** Whether its run is about to begin. */
  starting: boolean;
  run: Run | null;
  /** Where the answer goes. */
  streams: ResponseStream[];
  /** The answer from its first byte, or null when it is not kept. */
  kept: KeptResponse | null;
}

/** One receiver of an answer. */
export interface ResponseStream {
  /** The attempt under which the receiver knows the answer. */
  readonly attempt: AttemptId;
  readonly to: MemberId;
  /** Bytes that may still be sent. */
  credit: number;
}

/** An attempt under way at the backend server. */
export interface Run {
  readonly outgoing: ClientRequest;
  incoming: IncomingMessage | null;
  /** True from the moment bytes may have reached the backend server. */
  written: boolean;
  /** True once the end, a failure or a cancellation was reported. */
  settled: boolean;
  /** Time of the last sign of life, monotonic, in milliseconds. */
  lastActivityMs: number;
  /** Time at which it is aborted, monotonic, in milliseconds. */
  readonly expiresMs: number;
}

/** The head of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly Header[];
}

/** An answer kept for a replay. */
export interface KeptResponse {
  head: ResponseHead | null;
  readonly chunks: Uint8Array[];
  bytes: number;
  complete: boolean;
}
