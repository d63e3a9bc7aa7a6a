/**
 * @fileoverview Tests of joining chunks. Guards against bytes that are lost or
 * mixed up at the limits of blocks, and against memory that is not counted.
 */

import {Buffer} from 'node:buffer';

import test from 'ava';

import {BLOCK_BYTES, ByteBlocks, ByteQueue} from './byte_blocks.js';

const CHUNK_SIZES: readonly number[] = [1, 700, 65_535, 65_536, 200_000];
const TOTAL_BYTES = 300_000;

/** Bytes that differ from those at other positions nearby. */
const BYTES = Buffer.from(
  Array.from({length: TOTAL_BYTES}, (_, at) => (at * 7 + at / 251) & 0xff),
);

for (const size of CHUNK_SIZES) {
  test(`chunks of ${size} bytes are joined`, t => {
    const blocks = new ByteBlocks();
    const queue = new ByteQueue();
    for (let at = 0; at < TOTAL_BYTES; at += size) {
      blocks.append(BYTES.subarray(at, at + size));
      queue.push(BYTES.subarray(at, at + size));
    }
    const parts: Buffer[] = [];
    for (let at = 0; at < blocks.length; at += parts[parts.length - 1].length) {
      parts.push(blocks.slice(at, size));
    }
    t.true(Buffer.concat(parts).equals(BYTES));
    t.true(blocks.heldBytes < TOTAL_BYTES + BLOCK_BYTES);
    t.true(queue.takeAll().equals(BYTES));
    t.is(queue.heldBytes, 0);
  });
}

// A queue that is never empty kept all bytes that had passed through it.
test('a queue that is read while it grows holds what was not taken', t => {
  const queue = new ByteQueue();
  const parts: Buffer[] = [];
  for (let at = 0; at < TOTAL_BYTES; at += 1000) {
    queue.push(BYTES.subarray(at, at + 1000));
    if (queue.length > 2 * BLOCK_BYTES) parts.push(queue.shift());
    t.true(queue.heldBytes <= 4 * BLOCK_BYTES);
  }
  while (queue.length > 0) parts.push(queue.shift());
  t.true(Buffer.concat(parts).equals(BYTES));
});
