/** @fileoverview From a caller's key to the slice that holds it. */

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
 * Finds the slice of a key that is a number; slices are equal ranges of keys.
 *
 * @param key - The caller's key.
 * @param keys - Keys are the whole numbers below this one.
 * @param slices - Number of slices of the service, at least 1.
 * @returns The slice, or null if the key is not such a number.
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
 * Finds the slice of a key; slices are equal ranges of the hash.
 *
 * @param key - The caller's key.
 * @param slices - Number of slices of the service, at least 1.
 * @returns The slice, 0 to `slices - 1`.
 */
export function sliceByHash(key: string, slices: number): Slice {
  return Math.floor((hashKey(key) / HASH_RANGE) * slices) as Slice;
}
