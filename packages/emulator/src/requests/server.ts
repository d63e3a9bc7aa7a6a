/** @fileoverview A backend server in virtual time, which records its runs. */

import type {RequestId} from '@jackdawfall/core';

import type {Schedule} from './schedule.js';

/** How a backend server behaves. */
export interface ServerBehaviour {
  /** Draws the duration of a run of a request, in milliseconds. */
  serviceMs(request: RequestId): number;
  /** Concurrent runs that it accepts at this time; it refuses others. */
  maxRuns(): number;
}

/** A simulated backend server. */
export class SimulatedServer {
  /** Number of runs of each request. */
  readonly runCounts = new Map<RequestId, number>();
  /** Duration of the latest run of each request, in milliseconds. */
  readonly runMs = new Map<RequestId, number>();
  running = 0;
  mostRunning = 0;
  refused = 0;
  /** True while new runs never end. */
  silent = false;

  /**
   * @param schedule - Virtual time.
   * @param behaviour - How it behaves.
   */
  constructor(
    private readonly schedule: Schedule,
    private readonly behaviour: ServerBehaviour,
  ) {}

  /**
   * Starts a run.
   *
   * @param request - The request.
   * @param onEnd - Called at the end of the run, unless it was aborted.
   * @returns A function that aborts the run, or null if it was refused.
   */
  startRun(request: RequestId, onEnd: () => void): (() => void) | null {
    if (this.running >= this.behaviour.maxRuns()) {
      this.refused += 1;
      return null;
    }
    this.runCounts.set(request, (this.runCounts.get(request) ?? 0) + 1);
    this.running += 1;
    this.mostRunning = Math.max(this.mostRunning, this.running);
    const began = this.schedule.now;
    let isOver = false;
    const end = () => {
      if (isOver) return;
      isOver = true;
      this.running -= 1;
      this.runMs.set(request, this.schedule.now - began);
    };
    const finish = () => {
      if (isOver) return;
      end();
      onEnd();
    };
    if (this.silent) return end;
    this.schedule.after(this.behaviour.serviceMs(request), finish);
    return end;
  }
}
