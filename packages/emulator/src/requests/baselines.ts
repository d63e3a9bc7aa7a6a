/**
 * @fileoverview Usual ways to choose a server, for comparison: each request
 * goes to one server at once and waits in a queue there.
 */

import type {Schedule} from './schedule.js';

/** Time between two load reports, in milliseconds. */
const REPORT_EVERY_MS = 500;

/** A way to choose. */
export type Baseline = 'round-robin' | 'least-reported-load';

interface Queue {
  running: number;
  readonly waiting: Array<() => void>;
  /** Load as last reported. */
  reported: number;
}

/** Servers that queue without bound, and a chooser before them. */
export class BaselineServers {
  private readonly queues: Queue[] = [];
  private turn = 0;

  /**
   * @param schedule - Virtual time.
   * @param way - How a server is chosen.
   * @param slots - Runs at the same time on one server.
   * @param serviceMs - Time of a run on each server.
   */
  constructor(
    private readonly schedule: Schedule,
    private readonly way: Baseline,
    private readonly slots: number,
    private readonly serviceMs: ReadonlyArray<() => number>,
  ) {
    for (let index = 0; index < serviceMs.length; index++) {
      this.queues.push({running: 0, waiting: [], reported: 0});
    }
    this.report();
  }

  /**
   * Runs one request.
   *
   * @param ended - Called at its end.
   */
  call(ended: () => void): void {
    const index = this.choose();
    const queue = this.queues[index];
    const start = () => {
      queue.running += 1;
      this.schedule.after(this.serviceMs[index](), () => {
        queue.running -= 1;
        queue.waiting.shift()?.();
        ended();
      });
    };
    if (queue.running < this.slots) start();
    else queue.waiting.push(start);
  }

  private choose(): number {
    this.turn += 1;
    const first = this.turn % this.queues.length;
    if (this.way === 'round-robin') return first;
    let best = first;
    this.queues.forEach(({reported}, index) => {
      if (reported < this.queues[best].reported) best = index;
    });
    return best;
  }

  private report(): void {
    for (const queue of this.queues) {
      queue.reported = queue.running + queue.waiting.length;
    }
    this.schedule.after(REPORT_EVERY_MS, () => this.report());
  }
}
