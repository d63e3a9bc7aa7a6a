/** @fileoverview The workspace configuration, which every daemon holds. */

import type {
  ServiceName,
  TenantName,
  WorkspaceName,
  ZoneName,
} from '../ids/types.js';

/** Where a request carries its key. */
export type KeySource =
  | {readonly from: 'path'; readonly name: string}
  | {readonly from: 'header'; readonly name: string};

/** Interactive work goes first; deferrable work gets the remaining capacity. */
export type Priority = 'interactive' | 'deferrable';

/** A service that gets a share of a route's requests. */
export interface WeightedService {
  readonly service: ServiceName;
  /** Its share is this weight divided by the sum of the route's weights. */
  readonly weight: number;
}

/** Which requests a route matches and how they are handled. */
export interface Route {
  /** Value of the Host header, or null for any. */
  readonly host: string | null;
  /** HTTP method, or `*` for any. */
  readonly method: string;
  /**
   * Path template, for example `/finder/{key}`; a last segment of `**` matches
   * one or more further segments.
   */
  readonly path: string;
  readonly service: ServiceName;
  /** Services that share the requests; if empty, all go to `service`. */
  readonly split: readonly WeightedService[];
  /** Whether a request may run more than once without harm. */
  readonly idempotent: boolean;
  readonly priority: Priority;
  /** Time from acceptance to the end of the response, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective, in milliseconds; 0 if there is none. */
  readonly objectiveMs: number;
  /**
   * Order among waiting requests of the same priority at a server; lower values
   * go first.
   */
  readonly urgency: number;
  /** Maximum number of attempts without redirects and hedges; null: default. */
  readonly maxAttempts: number | null;
  /** Whether its requests need no API key. Absent: no. */
  readonly public?: boolean;
}

/** A customer whose requests are authenticated by API keys. */
export interface Tenant {
  readonly name: TenantName;
  /** SHA-256 digests of its API keys, in lower-case hexadecimal. */
  readonly keyDigests: readonly string[];
  /** Takes precedence over the urgency of the route; null: the route's. */
  readonly urgency: number | null;
  /** Requests per second over all daemons; 0 means no limit. */
  readonly ratePerSecond: number;
  /** Requests beyond the rate that may come at once. */
  readonly burst: number;
}

/**
 * What placement and queueing of requests go by.
 *
 * - `count`: the number of requests at a server and its latency.
 * - `cost`: the estimated run time of requests as well.
 */
export type Scheduling = 'count' | 'cost';

/** Which backend servers may run a request of a service. */
export type Division =
  /**
   * The service is partitioned (sharded): only the owner of the slice of the
   * request's key; each slice has one owner at a time.
   */
  | {
      readonly kind: 'keyed';
      /** Number of slices into which keys are divided; it can't be changed. */
      readonly slices: number;
      readonly key: KeySource;
      /** If a number, keys are the integers below it; if null, hashed texts. */
      readonly keys: number | null;
    }
  /** The service isn't partitioned: any of its backend servers. */
  | {readonly kind: 'shared'};

/** Limits that an operator sets for the backend servers of a service. */
export interface ServerLimits {
  /** Maximum total number of connections to a server, whoever opens them. */
  readonly connections: number;
  /** Maximum rate of requests to a server that is warming up, per second. */
  readonly coldPerSecond: number;
}

/** One service of the workspace. */
export interface Service {
  readonly name: ServiceName;
  readonly division: Division;
  /** Expected number of backend servers; for operators only. */
  readonly upstreams: number;
  /** Absent where servers announce their own limits. */
  readonly serverLimits?: ServerLimits;
}

/** Limits that hold in the whole workspace. */
export interface WorkspaceLimits {
  readonly maxBodyBytes: number;
  readonly maxKeyBytes: number;
  /** Retries and hedges as a share of requests, 0 to 1. */
  readonly retryShare: number;
  /** Maximum number of slices that move at the same time. */
  readonly maxMovingSlices: number;
  /** Time limit for work in flight on a slice that moves, in milliseconds. */
  readonly drainMs: number;
  /**
   * Time after which an idle connection of a caller closes, in milliseconds.
   */
  readonly idleMs: number;
  /**
   * Time in which a caller has to send the head of a request, in milliseconds.
   * Absent: the default of the daemon.
   */
  readonly headerTimeoutMs?: number;
}

/** A configuration document; `version` rises with each accepted change. */
export interface Workspace {
  readonly name: WorkspaceName;
  readonly version: number;
  readonly zones: readonly ZoneName[];
  readonly services: readonly Service[];
  readonly routes: readonly Route[];
  readonly limits: WorkspaceLimits;
  /** Absent: requests carry no API keys. */
  readonly tenants?: readonly Tenant[];
  /** Absent: `count`. */
  readonly scheduling?: Scheduling;
}
