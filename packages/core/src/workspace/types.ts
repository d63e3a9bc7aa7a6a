/** @fileoverview The configuration of a workspace as every daemon holds it. */

import type {ServiceName, WorkspaceName, ZoneName} from '../ids/types.js';

/** Where a request carries its key. */
export type KeySource =
  | {readonly from: 'path'; readonly name: string}
  | {readonly from: 'header'; readonly name: string};

/** Deferrable work gives way to interactive work. */
export type Priority = 'interactive' | 'deferrable';

/** A service's part of a route's requests. */
export interface WeightedService {
  readonly service: ServiceName;
  /** Its part is this over the sum of all weights of the route. */
  readonly weight: number;
}

/** One kind of request and how it is carried. */
export interface Route {
  /** Host header it is for, or null for any. */
  readonly host: string | null;
  /** HTTP method, or `*` for any. */
  readonly method: string;
  /**
   * Path template, for example `/finder/{key}`; a last segment of `**` stands
   * for any rest of the path.
   */
  readonly path: string;
  readonly service: ServiceName;
  /** Services among which requests are split; empty: all go to `service`. */
  readonly split: readonly WeightedService[];
  /** Whether a second run does no harm. */
  readonly idempotent: boolean;
  readonly priority: Priority;
  /** Time from acceptance to the end of the answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth most, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
  /** Rank among work that waits for the same server; 0 goes first. */
  readonly urgency: number;
  /** Servers that one request may be sent to, or null for the default. */
  readonly maxAttempts: number | null;
}

/** Who may run a request of a service. */
export type Division =
  /** Each key has one owner. */
  | {
      readonly kind: 'keyed';
      /** Number of slices; fixed for the life of the service. */
      readonly slices: number;
      readonly key: KeySource;
      /** Keys are the numbers below this one; null: texts, which are hashed. */
      readonly keys: number | null;
    }
  /** Any backend server of the service. */
  | {readonly kind: 'shared'};

/** One service of the workspace. */
export interface Service {
  readonly name: ServiceName;
  readonly division: Division;
  /** Expected number of backend servers; for operators only. */
  readonly upstreams: number;
}

/** Limits that hold in the whole workspace. */
export interface WorkspaceLimits {
  readonly maxBodyBytes: number;
  readonly maxKeyBytes: number;
  /** Retries and hedges as a share of requests, 0 to 1. */
  readonly retryShare: number;
  /** Slices that may be moving at the same time. */
  readonly maxMovingSlices: number;
  /** Bound on in-flight work when a slice moves, in milliseconds. */
  readonly drainMs: number;
  /** Time a caller's connection may stay unused, in milliseconds. */
  readonly idleMs: number;
}

/** A configuration document; `version` rises at each accepted change. */
export interface Workspace {
  readonly name: WorkspaceName;
  readonly version: number;
  readonly zones: readonly ZoneName[];
  readonly services: readonly Service[];
  readonly routes: readonly Route[];
  readonly limits: WorkspaceLimits;
}
