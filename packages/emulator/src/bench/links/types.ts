/** @fileoverview What the links bench and its workers tell each other. */

/** The module of the worker processes. */
export const WORKER = new URL('./worker.js', import.meta.url);

/** A member and where it accepts links. */
export interface Peer {
  readonly member: string;
  readonly address: string;
}

/** Requests to send over one link, a fixed number of them outstanding. */
export interface DriveOrder {
  readonly to: Peer;
  readonly requests: number;
  readonly outstanding: number;
}

/** What the driving side measured. */
export interface DriveResult {
  readonly durationMs: number;
  readonly cpuUs: number;
  readonly p50Us: number;
  readonly p99Us: number;
}
