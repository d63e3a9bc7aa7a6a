/** @fileoverview Measured and reported load of slices and members. */

import type {MemberId, ServiceName, Slice} from '../ids/types.js';

/** A daemon's measurement of its own load. */
export interface LoadMeter {
  /** Time spent on runs in the latest window, by slice, in milliseconds. */
  busyMs: ReadonlyMap<Slice, number>;
  /** Smoothed number of busy slots, by slice. */
  readonly rates: Map<Slice, number>;
  /** The service that is measured, or null before an announcement. */
  service: ServiceName | null;
  /** Monotonic time at which the current window began. */
  windowStartedAt: number;
  /** Total of the latest report, in busy slots. */
  reportedTotal: number;
  /** Monotonic time of the latest report. */
  reportedAt: number;
}

/** The latest load report of a member. */
export interface LoadReport {
  readonly service: ServiceName;
  /** Load of all its slices, in busy slots. */
  readonly total: number;
  /** Mean time of a run, in milliseconds; 0 if unknown. */
  readonly runMs: number;
  /** Busy slots of its busiest slices. */
  readonly rates: ReadonlyMap<Slice, number>;
  /** Monotonic time at which it arrived. */
  readonly at: number;
}

/** State of load balancing: own measurement, and reports to this daemon. */
export interface Balance {
  readonly meter: LoadMeter;
  readonly reports: Map<MemberId, LoadReport>;
  /** Monotonic time of the latest move for load, by `service/slice`. */
  readonly moved: Map<string, number>;
  /** Monotonic time before which no moves for load are planned. */
  notBefore: number;
}

/** A planned move of one slice. */
export interface LoadMove {
  readonly slice: Slice;
  readonly from: MemberId;
  readonly to: MemberId;
}

/** Load of one member, as input of the planner. */
export interface MemberLoad {
  readonly member: MemberId;
  /** Its capacity: slots over slowness. */
  readonly capacity: number;
  /** Mean run time over that of the fastest member; at least 1. */
  readonly slowness: number;
  /** Load of all its slices, in busy slots. */
  readonly total: number;
  /** Rates of its busiest slices that may move, in busy slots. */
  readonly slices: ReadonlyMap<Slice, number>;
}
