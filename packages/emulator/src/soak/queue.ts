/** @fileoverview A queue of events ordered by time, then by insertion. */

interface Item {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A binary heap of things to do. */
export class Agenda {
  private readonly heap: Item[] = [];
  private inserted = 0;

  /**
   * Adds something to do.
   *
   * @param at - Global time, in milliseconds.
   * @param run - What to do.
   */
  add(at: number, run: () => void): void {
    const item = {at, order: this.inserted++, run};
    const {heap} = this;
    let index = heap.push(item) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!before(item, heap[parent])) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = item;
  }

  /**
   * Finds the time of the next thing to do.
   *
   * @returns The time, or infinity.
   */
  nextAt(): number {
    return this.heap[0]?.at ?? Infinity;
  }

  /**
   * Removes the next thing to do.
   *
   * @returns What to do, or undefined.
   */
  take(): (() => void) | undefined {
    const {heap} = this;
    const first = heap[0];
    const last = heap.pop();
    if (last === undefined) return undefined;
    if (heap.length > 0) this.sink(last);
    return first.run;
  }

  private sink(item: Item): void {
    const {heap} = this;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && before(heap[right], heap[child])) {
        child = right;
      }
      if (!before(heap[child], item)) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = item;
  }
}

function before(a: Item, b: Item): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
