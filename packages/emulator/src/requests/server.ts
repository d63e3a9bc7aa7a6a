/** @fileoverview A backend server in virtual time, with its own record. */

import type {RequestId} from '@jackdawfall/core';

import type {Schedule} from './schedule.js';

/** How a backend server behaves. */
export interface Behaviour {
  /** Time a run takes, in milliseconds. */
  serviceMs(): number;
  /** Runs it bears at this moment; further ones it refuses. */
  bears(): number;
}

/** A backend server; `ran` counts the runs of each request. */
export class Server {
  readonly ran = new Map<RequestId, number>();
  /** Time of the latest run of each request, in milliseconds. */
  readonly runMs = new Map<RequestId, number>();
  running = 0;
  mostRunning = 0;
  refused = 0;
  /** True while it accepts connections and never answers. */
  silent = false;

  /**
   * @param schedule - Virtual time.
   * @param behaviour - How it behaves.
   */
  constructor(
    private readonly schedule: Schedule,
    private readonly behaviour: Behaviour,
  ) {}

  /**
   * Begins a run.
   *
   * @param request - The request.
   * @param ended - Called at the end of the run.
   * @returns Ends the run early, or null if it was refused.
   */
  begin(request: RequestId, ended: () => void): (() => void) | null {
    if (this.running >= this.behaviour.bears()) {
      this.refused += 1;
      return null;
    }
    this.ran.set(request, (this.ran.get(request) ?? 0) + 1);
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
      ended();
    };
    if (!this.silent) this.schedule.after(this.behaviour.serviceMs(), finish);
    return end;
  }
}
