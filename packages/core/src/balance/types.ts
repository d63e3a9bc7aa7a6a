/** @fileoverview Load of slices and members, as measured and reported. */

import type {MemberId, ServiceName, Slice} from '../ids/types.js';

/** An owner's count of its own work. */
export interface LoadMeter {
  /** Time spent on runs in the last window, by slice, in milliseconds. */
  busyMs: ReadonlyMap<Slice, number>;
  /** Smoothed number of slots kept busy, by slice. */
  readonly rates: Map<Slice, number>;
  service: ServiceName | null;
  /** Monotonic time at which the current window began. */
  windowStartedAt: number;
  /** Total of the newest report. */
  reportedTotal: number;
  /** Monotonic time of the newest report. */
  reportedAt: number;
}

/** What one owner reported. */
export interface LoadReport {
  readonly service: ServiceName;
  /** All its work, in busy slots. */
  readonly total: number;
  /** Mean time of a run, in milliseconds; 0 if unknown. */
  readonly runMs: number;
  /** Its hottest slices. */
  readonly rates: ReadonlyMap<Slice, number>;
  /** Monotonic time of arrival. */
  readonly at: number;
}

/** What the coordinator knows of loads. */
export interface Balance {
  readonly meter: LoadMeter;
  readonly reports: Map<MemberId, LoadReport>;
  /** Monotonic time at which slices were last moved for their load. */
  readonly moved: Map<string, number>;
  /** Monotonic time before which nothing is moved for load. */
  notBefore: number;
}

/** A slice that is better served elsewhere. */
export interface LoadMove {
  readonly slice: Slice;
  readonly from: MemberId;
  readonly to: MemberId;
}

/** Load of one member as the planner sees it. */
export interface MemberLoad {
  readonly member: MemberId;
  /** Relative capacity, for example its slots. */
  readonly capacity: number;
  /** Time of a run here over that at the fastest member, at least 1. */
  readonly slowness: number;
  readonly total: number;
  /** Its hottest movable slices. */
  readonly slices: ReadonlyMap<Slice, number>;
}
