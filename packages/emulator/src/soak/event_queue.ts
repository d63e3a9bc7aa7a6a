/** @fileoverview Priority queue of tasks, ordered by time, then by insertion. */

interface ScheduledTask {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Binary heap of scheduled tasks. */
export class EventQueue {
  private readonly heap: ScheduledTask[] = [];
  private inserted = 0;

  /**
   * Schedules a task.
   *
   * @param at - Simulated time, in milliseconds.
   * @param run - The task.
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
   * Returns the time of the next task.
   *
   * @returns Simulated time in milliseconds, or Infinity.
   */
  nextAt(): number {
    return this.heap[0]?.at ?? Infinity;
  }

  /**
   * Removes the next task.
   *
   * @returns The task, or undefined.
   */
  pop(): (() => void) | undefined {
    const {heap} = this;
    const first = heap[0];
    const last = heap.pop();
    if (last === undefined) return undefined;
    if (heap.length > 0) this.sink(last);
    return first.run;
  }

  private sink(item: ScheduledTask): void {
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

function before(a: ScheduledTask, b: ScheduledTask): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
