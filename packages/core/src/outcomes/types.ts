/** @fileoverview Where an attempt can be when a fault hits it. */

import type {RunState} from '../errors/types.js';

/** How far an attempt has come, as known by the daemon that decides. */
export type AttemptStage =
  /** At the origin: no byte was handed to a link. */
  | 'held'
  /** At the origin: handed to a link; nothing was heard since. */
  | 'sent'
  /** At the origin: a part of its answer was relayed to the caller. */
  | 'relayed'
  /** At the owner: refused before it reached the backend server. */
  | 'rejected'
  /** At the owner: it waits for a slot. */
  | 'queued'
  /** At the owner: a connection is sought; no byte was written. */
  | 'started'
  /** At the owner: a byte was written to a backend connection. */
  | 'written'
  /** At the owner: the head of an answer arrived. */
  | 'answering'
  /** The backend server refused it before running. */
  | 'refused';

/** What follows from a fault. */
export interface FailureClassification {
  /** What a caller may truthfully be told. */
  readonly run: RunState;
  /** Whether another attempt may be made. */
  readonly retry: boolean;
}
