/** @fileoverview Virtual time and seeded randomness for experiments. */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

interface Entry {
  readonly at: number;
  readonly order: number;
  readonly act: () => void;
}

/** Actions in virtual time; those of one moment run in the order added. */
export class Schedule {
  /** Virtual time, in milliseconds. */
  now = 0;
  private order = 0;
  private readonly heap: Entry[] = [];
  private readonly generator;

  /** @param seed - Seed of `random`. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /**
   * Draws a random value.
   *
   * @returns Uniform in [0, 1).
   */
  random(): number {
    return uniformFloat64(this.generator);
  }

  /**
   * Draws from an exponential distribution.
   *
   * @param mean - Its mean.
   * @returns The value.
   */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.random());
  }

  /**
   * Adds an action.
   *
   * @param delayMs - Time from now, in milliseconds.
   * @param act - The action.
   */
  after(delayMs: number, act: () => void): void {
    this.order += 1;
    const at = this.now + Math.max(0, delayMs);
    push(this.heap, {at, order: this.order, act});
  }

  /**
   * Runs actions until a moment.
   *
   * @param until - Virtual time, in milliseconds.
   */
  run(until: number): void {
    while (this.heap.length > 0 && this.heap[0].at <= until) {
      const entry = pop(this.heap);
      this.now = entry.at;
      entry.act();
    }
    this.now = until;
  }
}

function isBefore(a: Entry, b: Entry): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function push(heap: Entry[], entry: Entry): void {
  let index = heap.length;
  heap.push(entry);
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!isBefore(entry, heap[parent])) break;
    heap[index] = heap[parent];
    index = parent;
  }
  heap[index] = entry;
}

function pop(heap: Entry[]): Entry {
  const [first] = heap;
  const last = heap.pop()!;
  if (heap.length === 0) return first;
  let index = 0;
  for (;;) {
    let child = 2 * index + 1;
    if (child >= heap.length) break;
    const right = child + 1;
    if (right < heap.length && isBefore(heap[right], heap[child])) {
      child = right;
    }
    if (!isBefore(heap[child], last)) break;
    heap[index] = heap[child];
    index = child;
  }
  heap[index] = last;
  return first;
}
