/** @fileoverview Stages of an attempt, and what its failure means. */

import type {RunState} from '../errors/types.js';

/**
 * How far an attempt has come, as known at its origin or at the daemon that
 * executes it. A daemon rejects an attempt; a backend server refuses one.
 */
export type AttemptStage =
  /**
   * At the origin: certainly not started. No byte was handed to a link, or the
   * other daemon reports that it never started and never will.
   */
  | 'held'
  /** At the origin: handed to a link; no message about it came back yet. */
  | 'sent'
  /**
   * At the origin: the head of its response arrived, and the response is being
   * relayed. The caller may have received nothing of it yet, since the runtime
   * buffers the beginning.
   */
  | 'relayed'
  /**
   * At the executing daemon: rejected by the daemon, before any byte was
   * written to the backend server.
   */
  | 'rejected'
  /** At the executing daemon: waiting for a slot. */
  | 'queued'
  /**
   * At the executing daemon: a connection is being opened; no byte was written.
   */
  | 'started'
  /**
   * At the executing daemon: a byte may have been written to the backend
   * server.
   */
  | 'written'
  /**
   * At the executing daemon: the head of the response arrived, and the rest is
   * being received.
   */
  | 'answering'
  /** At the executing daemon: refused by the backend server before it ran. */
  | 'refused';

/** What the failure of an attempt means. */
export interface FailureClassification {
  /** Whether it may have run, as the caller is told. */
  readonly run: RunState;
  /** Whether another attempt may follow. */
  readonly retry: boolean;
}
