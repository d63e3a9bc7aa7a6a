/** @fileoverview Stages of an attempt, and what its failure means. */

import type {RunState} from '../errors/types.js';

/** How far an attempt has come, as known at its origin or its owner. */
export type AttemptStage =
  /** At the origin: no byte was handed to a link. */
  | 'held'
  /** At the origin: handed to a link; no message about it came back yet. */
  | 'sent'
  /** At the origin: a part of its response was relayed to the caller. */
  | 'relayed'
  /** At the owner: refused before it reached the backend server. */
  | 'rejected'
  /** At the owner: waiting for a slot. */
  | 'queued'
  /** At the owner: a connection is being opened; no byte was written. */
  | 'started'
  /** At the owner: a byte may have been written to the backend server. */
  | 'written'
  /** At the owner: the head of the response arrived. */
  | 'answering'
  /** At the owner: the backend server refused it before running it. */
  | 'refused';

/** What the failure of an attempt means. */
export interface FailureClassification {
  /** Whether it may have run, as the caller is told. */
  readonly run: RunState;
  /** Whether another attempt may follow. */
  readonly retry: boolean;
}
