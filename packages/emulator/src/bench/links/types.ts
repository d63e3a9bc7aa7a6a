/** @fileoverview Types shared by the links bench and its workers. */

/** The module of the worker processes. */
export const WORKER = new URL('./worker.js', import.meta.url);

/** A member and the address where it accepts links. */
export interface Peer {
  readonly member: string;
  readonly address: string;
}

/** Load on one link: a number of requests at a fixed concurrency. */
export interface DriveOptions {
  readonly to: Peer;
  readonly requests: number;
  readonly outstanding: number;
}

/** Measurements of the sending side. */
export interface DriveResult {
  readonly durationMs: number;
  readonly cpuUs: number;
  readonly p50Us: number;
  readonly p99Us: number;
}
