/** @fileoverview Measured and reported load of slices and members. */

import type {MemberId, ServiceName, Slice} from '../ids/types.js';

/** A daemon's measurement of its own load. */
export interface LoadMeter {
  /** Time spent on runs in the latest window, by slice, in milliseconds. */
  busyMs: ReadonlyMap<Slice, number>;
  /** Load by slice: smoothed mean number of busy slots. */
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
  /** Load of its busiest slices, in busy slots. */
  readonly rates: ReadonlyMap<Slice, number>;
  /** Monotonic time at which it arrived. */
  readonly at: number;
}

/** State of load balancing: this daemon's measurement, and reports to it. */
export interface Balance {
  readonly meter: LoadMeter;
  readonly reports: Map<MemberId, LoadReport>;
  /** Monotonic time of the latest move for load, by `service/slice`. */
  readonly moved: Map<string, number>;
  /** Monotonic time before which no moves for load are planned. */
  notBefore: number;
  /** Monotonic time before which no ranges of slices are joined. */
  mergeNotBefore: number;
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
  /** Number of slots, weighted by the member's speed. */
  readonly capacity: number;
  /** Relative run time: the mean over that of the fastest member, minimum 1. */
  readonly slowness: number;
  /** Load of all its slices, in busy slots. */
  readonly total: number;
  /** Load of its busiest slices that may move, in busy slots. */
  readonly slices: ReadonlyMap<Slice, number>;
}
