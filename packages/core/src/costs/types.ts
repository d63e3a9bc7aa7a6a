/** @fileoverview Estimates of the run time of requests, by cost class. */

import type {CostClass, ServiceName} from '../ids/types.js';

/** Estimated run time of one cost class, or of a whole service. */
export interface CostEstimate {
  /** Moving mean of clipped run times, in milliseconds. */
  meanMs: number;
  /** Number of runs it was learned from. */
  samples: number;
}

/** Identifies a cost class among those of all services. */
export interface CostKey {
  readonly service: ServiceName;
  readonly costClass: CostClass;
}

/** Estimates that one daemon has learned; bounded in number. */
export interface CostTable {
  /** By service and class; the least recently updated one is first. */
  readonly classes: Map<string, CostEstimate>;
  readonly services: Map<ServiceName, CostEstimate>;
}

/** What a daemon tells origins about the work of its backend server. */
export interface WorkReport {
  /**
   * Expected remaining run times of what runs and waits, divided by the
   * concurrency limit, in whole milliseconds; 0 if there is none, if nothing is
   * known, and unless scheduling goes by cost.
   */
  readonly workMs: number;
  /**
   * Expected run time of a request of the same class at the server's present
   * speed, in whole milliseconds; 0 if unknown.
   */
  readonly expectedMs: number;
}

/** Estimates of the runs on one backend server. */
export interface ServerCosts {
  readonly table: CostTable;
  /** Present run time as a multiple of the estimates. */
  slowness: number;
  /** Monotonic time of its latest change, in milliseconds. */
  slownessAt: number;
  /**
   * Moving mean of the difference between run time and estimate, as a share of
   * the estimate; shown to operators.
   */
  errorShare: number;
}
