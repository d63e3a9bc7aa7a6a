/**
 * @fileoverview What an origin remembers of servers without room. The state is
 * of constant size for each server and forgotten within seconds.
 */

import type {MemberId, ServiceName, Slice} from '../ids/types.js';

/** The latest refusal for want of room of one slice and urgency at a server. */
export interface Refusal {
  /** Null for a shared service. */
  readonly slice: Slice | null;
  readonly urgency: number;
  /** Monotonic time, in milliseconds. */
  readonly at: number;
  /** Attempts at the server, as the refusal reported. */
  readonly outstanding: number;
  /** Latency objective of the refused request, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
  /** Time that the refused request had until its deadline, in milliseconds. */
  readonly leftMs: number;
}

/** What the reports of one server's daemon have shown lately. */
export interface ServerRecord {
  /** Attempts that wait or run there, by the latest report. */
  outstanding: number;
  /** Monotonic time of that report, in milliseconds. */
  reportedAt: number;
  /** Moving mean of run times, in milliseconds; 0 before the first. */
  meanRunMs: number;
  /** The latest refusal of each slice and urgency; at most `MAX_REFUSALS`. */
  refusals: Refusal[];
  /** Monotonic time of the latest attempt sent there, in milliseconds. */
  sentAt: number;
  /** Requests rejected here since that attempt. */
  rejectedSinceSent: number;
}

/** The server, or the shared service, at which room is promised. */
export type RoomKey = MemberId | ServiceName;

/** State of overload control at an origin. */
export interface OverloadState {
  readonly servers: Map<MemberId, ServerRecord>;
  /** Monotonic time of the latest return that was promised. */
  readonly promisedUntil: Map<RoomKey, number>;
}

/** The part of a request that decides whether a server has room for it. */
export interface RoomClaim {
  /** Null for a shared service. */
  readonly slice: Slice | null;
  /** Order among waiting requests; lower values go first. */
  readonly urgency: number;
  /** Latency objective of the response, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
  /** Time until the deadline, in milliseconds. */
  readonly leftMs: number;
}

/** What is expected of the room for the requests of this origin. */
export interface ExpectedRoom {
  readonly key: RoomKey;
  /** Expected time of one run, in milliseconds. */
  readonly runMs: number;
  /**
   * Mean time between two runs that start there for this origin, in
   * milliseconds.
   */
  readonly intervalMs: number;
}

/** A server with its slots, and this origin's part of what it runs. */
export interface RoomServer {
  readonly member: MemberId;
  readonly slots: number;
  /** Open attempts of this origin there. */
  readonly own: number;
}
