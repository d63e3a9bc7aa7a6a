/**
 * @fileoverview Shares the memory of a process among what it holds for callers,
 * servers and links. Made for many clients at once that send bodies slowly, in
 * chunks of any size, or stop short of the end: complete requests keep their
 * memory, and unfinished bodies give way to others.
 */

import type {
  HeldKind,
  MachineLimits,
  MemoryLimits,
  UnfinishedBody,
} from './types.js';

/**
 * Share of the machine's memory for what is held; the rest is for the heap, for
 * copies in sockets and for fragmentation.
 */
const BUDGET_SHARE = 0.3;
/** Share of the descriptors for callers' connections. */
const CONNECTION_SHARE = 0.5;
/** Share of the heap for the heads of requests that are still arriving. */
const HEAD_HEAP_SHARE = 0.25;
/** Share of the heap for requests behind earlier ones of their connection. */
const PIPELINE_HEAP_SHARE = 0.125;
/** Maximum size of the head of one request, in bytes. */
const MAX_HEAD_BYTES = 16 * 1024;
/** Maximum number of callers' connections whatever the machine has. */
const MAX_CONNECTIONS = 16_384;
/** Number of connections that is allowed however small the machine is. */
const MIN_CONNECTIONS = 32;
/**
 * Time without progress after which a body gives way to any other: longer than
 * a retransmission after loss on a calm link.
 */
const STALLED_MS = 1000;

const NOTHING_HELD: Readonly<Record<HeldKind, number>> = {
  bodies: 0,
  responses: 0,
  runs: 0,
  links: 0,
};

/**
 * Derives the limits of a process.
 *
 * @param machine - Memory, descriptors and heap.
 * @returns The limits.
 */
export function memoryLimitsOf(machine: MachineLimits): MemoryLimits {
  const {memoryBytes, descriptors, heapBytes} = machine;
  const byHeap = (heapBytes * HEAD_HEAP_SHARE) / MAX_HEAD_BYTES;
  const most = Math.min(
    descriptors * CONNECTION_SHARE,
    byHeap,
    MAX_CONNECTIONS,
  );
  return {
    budgetBytes: Math.floor(memoryBytes * BUDGET_SHARE),
    maxConnections: Math.max(MIN_CONNECTIONS, Math.floor(most)),
    maxPipelinedBytes: Math.floor(heapBytes * PIPELINE_HEAP_SHARE),
  };
}

/** Counts the bytes that a process holds, by kind. */
export class MemoryBudget {
  private readonly held = {...NOTHING_HELD};
  private total = 0;

  /** @param maxBytes - Maximum of all kinds together. */
  constructor(readonly maxBytes: number) {}

  /**
   * Reserves memory.
   *
   * @param kind - What it is for.
   * @param bytes - Number of bytes.
   * @returns Whether it was reserved; false if there is no room.
   */
  reserve(kind: HeldKind, bytes: number): boolean {
    if (this.total + bytes > this.maxBytes) return false;
    this.add(kind, bytes);
    return true;
  }

  /**
   * Counts memory that is held already, beyond the maximum if need be.
   *
   * @param kind - What it is for.
   * @param bytes - Number of bytes; negative for bytes no longer held.
   */
  add(kind: HeldKind, bytes: number): void {
    this.held[kind] += bytes;
    this.total += bytes;
  }

  /**
   * Replaces the count of a kind that is measured from time to time.
   *
   * @param kind - What it is for.
   * @param bytes - Number of bytes held now.
   */
  set(kind: HeldKind, bytes: number): void {
    this.add(kind, bytes - this.held[kind]);
  }

  /** @returns The bytes held, by kind. */
  get heldBytes(): Readonly<Record<HeldKind, number>> {
    return this.held;
  }

  /** @returns The bytes that can still be reserved. */
  get freeBytes(): number {
    return Math.max(0, this.maxBytes - this.total);
  }
}

/**
 * Selects the body that gives way to another one that needs room: the one that
 * has stalled for the longest time, or else the largest, if it is larger than
 * the other one would be. Small bodies thus get through beside large ones.
 *
 * @param bodies - The unfinished bodies, the other one excluded.
 * @param neededBytes - What the other one would hold.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns The body to refuse, or null if the other one has to be refused.
 */
export function selectBodyToRefuse<T extends UnfinishedBody>(
  bodies: Iterable<T>,
  neededBytes: number,
  nowMs: number,
): T | null {
  let stalest: T | null = null;
  let largest: T | null = null;
  for (const body of bodies) {
    if (body.heldBytes === 0) continue;
    if (body.progressedMs < (stalest?.progressedMs ?? Infinity)) stalest = body;
    if (body.heldBytes > (largest?.heldBytes ?? neededBytes)) largest = body;
  }
  const hasStalled =
    stalest !== null && nowMs - stalest.progressedMs >= STALLED_MS;
  return hasStalled ? stalest : largest;
}
