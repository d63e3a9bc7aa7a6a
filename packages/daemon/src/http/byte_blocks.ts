/**
 * @fileoverview Bytes joined from chunks of any size. Chunks are copied: a
 * buffer for each chunk of one byte takes about 200 bytes.
 */

/** Size of all blocks but the last. */
export const BLOCK_BYTES = 64 * 1024;
/** Minimum size of the last block, which doubles until it is a whole one. */
const MIN_BLOCK_BYTES = 512;

/** Bytes that grow at their end and are read at any position. */
export class ByteBlocks {
  private readonly blocks: Buffer[] = [];
  private size = 0;
  /** Number of blocks that were dropped from the start. */
  private dropped = 0;

  /** @returns The number of bytes. */
  get length(): number {
    return this.size;
  }

  /** @returns The memory that they take, in bytes. */
  get heldBytes(): number {
    return heldBytesFor(this.size) - this.dropped * BLOCK_BYTES;
  }

  /**
   * Copies bytes to the end.
   *
   * @param bytes - The bytes.
   */
  append(bytes: Uint8Array): void {
    let from = 0;
    while (from < bytes.length) {
      const used = this.size % BLOCK_BYTES;
      const count = Math.min(BLOCK_BYTES - used, bytes.length - from);
      const block = this.lastBlock(used, used + count);
      block.set(bytes.subarray(from, from + count), used);
      this.size += count;
      from += count;
    }
  }

  /**
   * Returns bytes without copying them.
   *
   * @param start - Position of the first one.
   * @param maxBytes - Maximum number.
   * @returns The bytes, up to the end of the block at most; empty at the end.
   */
  slice(start: number, maxBytes: number): Buffer {
    const block = this.blocks[this.indexOf(start)];
    if (block === undefined) return Buffer.alloc(0);
    const at = start % BLOCK_BYTES;
    const end = Math.min(at + maxBytes, BLOCK_BYTES, at + this.size - start);
    return block.subarray(at, end);
  }

  /**
   * Drops the blocks that end before a position; they are not read again.
   *
   * @param position - The position.
   */
  dropBefore(position: number): void {
    const count = this.indexOf(position);
    this.blocks.splice(0, count);
    this.dropped += count;
  }

  private indexOf(position: number): number {
    return Math.floor(position / BLOCK_BYTES) - this.dropped;
  }

  /** Returns the last block, replaced by a larger one if it is too small. */
  private lastBlock(used: number, needed: number): Buffer {
    const index = this.indexOf(this.size);
    const existing = this.blocks[index];
    const capacity = capacityFor(needed);
    if (existing !== undefined && existing.length >= capacity) return existing;
    const block = Buffer.allocUnsafeSlow(capacity);
    existing?.copy(block, 0, 0, used);
    this.blocks[index] = block;
    return block;
  }
}

/**
 * Returns the memory that a number of bytes takes.
 *
 * @param length - The number of bytes.
 * @returns The size of their blocks, in bytes.
 */
export function heldBytesFor(length: number): number {
  const used = length % BLOCK_BYTES;
  return length - used + (used === 0 ? 0 : capacityFor(used));
}

function capacityFor(bytes: number): number {
  let capacity = MIN_BLOCK_BYTES;
  while (capacity < bytes) capacity *= 2;
  return capacity;
}

/** Bytes that are taken in the order in which they were added. */
export class ByteQueue {
  private blocks = new ByteBlocks();
  private taken = 0;

  /** @returns The number of bytes that were not taken. */
  get length(): number {
    return this.blocks.length - this.taken;
  }

  /** @returns The memory that the queue takes, in bytes. */
  get heldBytes(): number {
    return this.blocks.heldBytes;
  }

  /**
   * Adds bytes at the end.
   *
   * @param bytes - The bytes, which are copied.
   */
  push(bytes: Uint8Array): void {
    this.blocks.append(bytes);
  }

  /**
   * Takes bytes from the start.
   *
   * @returns A part of the bytes; empty if there are none.
   */
  shift(): Buffer {
    const part = this.blocks.slice(this.taken, BLOCK_BYTES);
    this.taken += part.length;
    if (this.length === 0) this.clear();
    else this.blocks.dropBefore(this.taken);
    return part;
  }

  /** @returns All bytes, which are taken. */
  takeAll(): Buffer {
    const parts: Buffer[] = [];
    while (this.length > 0) parts.push(this.shift());
    return parts.length === 1 ? parts[0] : Buffer.concat(parts);
  }

  /** Drops all bytes. */
  clear(): void {
    this.blocks = new ByteBlocks();
    this.taken = 0;
  }
}
