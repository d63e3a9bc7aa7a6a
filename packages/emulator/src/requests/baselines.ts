/**
 * @fileoverview Common strategies to select a server, for comparison. Each
 * request is sent to one server immediately and waits in its queue.
 */

import type {Schedule} from './schedule.js';

/** Interval of load reports, in milliseconds. */
const REPORT_INTERVAL_MS = 500;

/** A strategy to select a server. */
export type Baseline = 'round-robin' | 'least-reported-load';

/** The work of one server. */
interface Queue {
  running: number;
  readonly waiting: Array<() => void>;
  /** Requests that ran or waited at the last report. */
  reportedLoad: number;
}

/** Servers with unbounded queues, and the selection among them. */
export class BaselineServers {
  private readonly queues: Queue[] = [];
  private callCount = 0;

  /**
   * @param schedule - Virtual time.
   * @param baseline - How a server is selected.
   * @param slots - Concurrent runs of each server.
   * @param serviceMs - By server: draws the duration of a run, in milliseconds.
   */
  constructor(
    private readonly schedule: Schedule,
    private readonly baseline: Baseline,
    private readonly slots: number,
    private readonly serviceMs: ReadonlyArray<() => number>,
  ) {
    for (let index = 0; index < serviceMs.length; index++) {
      this.queues.push({running: 0, waiting: [], reportedLoad: 0});
    }
    this.report();
  }

  /**
   * Runs one request.
   *
   * @param onEnd - Called when its run has ended.
   */
  call(onEnd: () => void): void {
    const index = this.selectServer();
    const queue = this.queues[index];
    const start = () => {
      queue.running += 1;
      this.schedule.after(this.serviceMs[index](), () => {
        queue.running -= 1;
        queue.waiting.shift()?.();
        onEnd();
      });
    };
    if (queue.running < this.slots) start();
    else queue.waiting.push(start);
  }

  private selectServer(): number {
    this.callCount += 1;
    const first = this.callCount % this.queues.length;
    if (this.baseline === 'round-robin') return first;
    let best = first;
    this.queues.forEach(({reportedLoad}, index) => {
      if (reportedLoad < this.queues[best].reportedLoad) best = index;
    });
    return best;
  }

  private report(): void {
    for (const queue of this.queues) {
      queue.reportedLoad = queue.running + queue.waiting.length;
    }
    this.schedule.after(REPORT_INTERVAL_MS, () => this.report());
  }
}
