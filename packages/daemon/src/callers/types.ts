/** @fileoverview What the callers' side keeps of requests and answers. */

import type {ServerResponse} from 'node:http';

import type {
  AttemptId,
  Header,
  MemberId,
  RequestId,
  Route,
  Service,
  Slice,
} from '@jackdawfall/core';

/** A caller's request with its whole body. */
export interface PendingRequest {
  readonly request: RequestId;
  readonly route: Route;
  /** The service that the route chose for it. */
  readonly service: Service;
  readonly slice: Slice | null;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly idempotencyKey: string | null;
  /** Time in which it must be answered, from `takenMs`. */
  readonly timeoutMs: number;
  /** Monotonic time at which it was read, in milliseconds. */
  readonly receivedMs: number;
  readonly body: Buffer;
  /** Headers added to the backend server's answer. */
  readonly addedHeaders: Readonly<Record<string, string>>;
  readonly outgoing: ServerResponse;
  /** The attempt whose answer the caller receives, once chosen. */
  chosenAttempt: AttemptId | null;
  readonly attempts: Set<AttemptId>;
}

/** An answer on its way from a member to a caller. */
export interface IncomingResponse {
  readonly attempt: AttemptId;
  readonly request: RequestId;
  /** The member that runs the attempt; others are not listened to. */
  readonly from: MemberId;
  head: {readonly status: number; readonly headers: readonly Header[]} | null;
  /** Parts that wait for the caller or for the choice of an answer. */
  readonly chunks: Uint8Array[];
  ended: boolean;
  /** Bytes of the body received since the last head. */
  received: number;
  /** Bytes of the body handed to the caller. */
  delivered: number;
  /** Bytes for which credit is still to be given back. */
  creditOwed: number;
  /** Body bytes of the request that may still be sent. */
  bodyCredit: number;
  /** Body bytes of the request already sent. */
  bodySent: number;
}
