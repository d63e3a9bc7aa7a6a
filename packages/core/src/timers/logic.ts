/** @fileoverview Priority queue of timers. */

interface Entry<Item> {
  readonly at: number;
  readonly item: Item;
}

/** Binary heap of items ordered by the time at which they are due. */
export class TimerQueue<Item> {
  private readonly heap: Array<Entry<Item>> = [];

  /** Number of items in the queue. */
  get size(): number {
    return this.heap.length;
  }

  /** Monotonic time at which the earliest item is due, or Infinity. */
  get nextDueAt(): number {
    return this.heap.length > 0 ? this.heap[0].at : Infinity;
  }

  /**
   * Adds an item.
   *
   * @param at - Monotonic time at which it is due, in milliseconds.
   * @param item - The item.
   */
  add(at: number, item: Item): void {
    const heap = this.heap;
    let index = heap.length;
    heap.push({at, item});
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (heap[parent].at <= heap[index].at) return;
      swap(heap, parent, index);
      index = parent;
    }
  }

  /**
   * Removes the earliest item if it is due.
   *
   * @param now - Monotonic time, in milliseconds.
   * @returns The item, or null if none is due.
   */
  popDue(now: number): Item | null {
    const heap = this.heap;
    if (heap.length === 0 || heap[0].at > now) return null;
    const {item} = heap[0];
    const last = heap.pop()!;
    if (heap.length > 0) {
      heap[0] = last;
      sink(heap);
    }
    return item;
  }
}

function sink<Item>(heap: Array<Entry<Item>>): void {
  let index = 0;
  for (;;) {
    const left = 2 * index + 1;
    if (left >= heap.length) return;
    const right = left + 1;
    const hasRight = right < heap.length;
    const child = hasRight && heap[right].at < heap[left].at ? right : left;
    if (heap[index].at <= heap[child].at) return;
    swap(heap, index, child);
    index = child;
  }
}

function swap<Item>(heap: Array<Entry<Item>>, a: number, b: number): void {
  const entry = heap[a];
  heap[a] = heap[b];
  heap[b] = entry;
}
