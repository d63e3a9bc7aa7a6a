/** @fileoverview Virtual time and seeded randomness for simulations. */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** An action at a virtual time, in milliseconds. */
interface ScheduledAction {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

/** Runs actions in virtual time; those for the same time in the order added. */
export class Schedule {
  /** Virtual time, in milliseconds. */
  now = 0;
  private order = 0;
  private readonly heap: ScheduledAction[] = [];
  private readonly generator;

  /** @param seed - Seed of the random values. */
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
   * Schedules an action.
   *
   * @param delayMs - Delay from now, in milliseconds.
   * @param action - The action.
   */
  after(delayMs: number, action: () => void): void {
    this.order += 1;
    const at = this.now + Math.max(0, delayMs);
    push(this.heap, {at, order: this.order, action});
  }

  /**
   * Runs all actions until a virtual time, also those added meanwhile.
   *
   * @param until - Virtual time, in milliseconds.
   */
  run(until: number): void {
    while (this.heap.length > 0 && this.heap[0].at <= until) {
      const entry = pop(this.heap);
      this.now = entry.at;
      entry.action();
    }
    this.now = until;
  }
}

function isBefore(a: ScheduledAction, b: ScheduledAction): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Adds to a binary heap, whose first entry is the next action. */
function push(heap: ScheduledAction[], entry: ScheduledAction): void {
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

/** Removes and returns the first entry of a non-empty heap. */
function pop(heap: ScheduledAction[]): ScheduledAction {
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
