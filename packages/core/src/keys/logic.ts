/** @fileoverview Mapping of callers' keys to slices. */

import murmurhash from 'murmurhash';

import type {Slice} from '../ids/types.js';

const HASH_SEED = 0x6a61636b;
const HASH_RANGE = 2 ** 32;

/**
 * Hashes a key to 32 bits.
 *
 * @param key - The caller's key.
 * @returns An unsigned 32-bit integer.
 */
export function hashKey(key: string): number {
  return murmurhash.v3(key, HASH_SEED);
}

/**
 * Returns the slice of a numeric key. Slices are equal ranges of keys.
 *
 * @param key - The caller's key.
 * @param keys - Number of keys; keys are the integers from 0 to `keys - 1`.
 * @param slices - Number of slices of the service, at least 1.
 * @returns The slice, or null if the key is not such an integer.
 */
export function sliceByNumber(
  key: string,
  keys: number,
  slices: number,
): Slice | null {
  if (!/^\d{1,15}$/.test(key) || Number(key) >= keys) return null;
  return Math.floor((Number(key) * slices) / keys) as Slice;
}

/**
 * Returns the slice of a key by its hash. Slices are equal ranges of hashes.
 *
 * @param key - The caller's key.
 * @param slices - Number of slices of the service, at least 1.
 * @returns The slice, 0 to `slices - 1`.
 */
export function sliceByHash(key: string, slices: number): Slice {
  return Math.floor((hashKey(key) / HASH_RANGE) * slices) as Slice;
}
