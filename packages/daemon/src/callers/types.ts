/** @fileoverview State of callers' requests and of responses to them. */

import type {ServerResponse} from 'node:http';

import type {ByteBlocks, ByteQueue} from '../http/byte_blocks.js';
import type {
  AttemptId,
  CostClass,
  Header,
  MemberId,
  RequestId,
  Route,
  Service,
  Slice,
  Tenant,
} from '@jackdawfall/core';

/**
 * A caller's request whose response isn't complete, with its complete body.
 * The reducer keeps its own record of the request, without body and connection.
 */
export interface PendingRequest {
  readonly request: RequestId;
  readonly route: Route;
  /** The service that the route selected. */
  readonly service: Service;
  readonly slice: Slice | null;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  /** The tenant that sent it, or null if it carried no API key. */
  readonly tenant: Tenant | null;
  /** Class of its run time; 0 unless scheduling goes by cost. */
  readonly costClass: CostClass;
  readonly idempotencyKey: string | null;
  /** Time for the complete response, in milliseconds from `receivedMs`. */
  readonly timeoutMs: number;
  /** Monotonic time when the request had been read, in milliseconds. */
  readonly receivedMs: number;
  readonly body: ByteBlocks;
  /** Memory reserved for the request, in bytes. */
  readonly heldBytes: number;
  /** Headers added to the backend server's response. */
  readonly addedHeaders: Readonly<Record<string, string>>;
  readonly outgoing: ServerResponse;
  /** The attempt whose response is relayed to the caller, once chosen. */
  chosenAttempt: AttemptId | null;
  readonly attempts: Set<AttemptId>;
}

/** A response that the member running an attempt sends for the caller. */
export interface IncomingResponse {
  readonly attempt: AttemptId;
  readonly request: RequestId;
  /** The member that runs the attempt; messages from others are ignored. */
  readonly from: MemberId;
  head: {readonly status: number; readonly headers: readonly Header[]} | null;
  /**
   * Body bytes not yet written, since this response isn't chosen, is still
   * being buffered, or the caller reads slowly.
   */
  readonly unwritten: ByteQueue;
  ended: boolean;
  /**
   * Whether the link was lost since the last head, so that a part may be
   * missing. What arrives before the next head is ignored.
   */
  interrupted: boolean;
  /** Number of body bytes received since the last head. */
  received: number;
  /** Number of body bytes written to the caller. */
  delivered: number;
  /** Number of delivered bytes for which no credit was returned yet. */
  creditOwed: number;
  /** Number of request body bytes that may still be sent. */
  bodyCredit: number;
  /** Number of request body bytes already sent. */
  bodySent: number;
}
