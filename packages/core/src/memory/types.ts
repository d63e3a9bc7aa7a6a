/** @fileoverview Types of the memory budget of a daemon's process. */

/** What memory is held for. */
export type HeldKind =
  /** Callers' requests, also those that are still arriving. */
  | 'bodies'
  /** Responses that wait for a caller. */
  | 'responses'
  /** Bodies that wait for the local backend server. */
  | 'runs'
  /** Messages that wait for links. */
  | 'links';

/** Limits that follow from the machine and the process. */
export interface MemoryLimits {
  /** Maximum of all held bytes together. */
  readonly budgetBytes: number;
  /** Maximum number of callers' connections. */
  readonly maxConnections: number;
  /** Maximum of all heads that wait behind earlier requests, in bytes. */
  readonly maxPipelinedBytes: number;
}

/** What limits a process. */
export interface MachineLimits {
  /** Memory of the machine that the process may use, in bytes. */
  readonly memoryBytes: number;
  /** Maximum number of open descriptors. */
  readonly descriptors: number;
  /** Maximum size of the heap, in bytes. */
  readonly heapBytes: number;
}

/** A request body that is still arriving. */
export interface UnfinishedBody {
  /** Bytes held for it. */
  readonly heldBytes: number;
  /** Monotonic time at which bytes of it arrived last, in milliseconds. */
  readonly progressedMs: number;
}
