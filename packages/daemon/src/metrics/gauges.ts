/** @fileoverview Gauges that are read whenever metrics are rendered. */

import {
  currentLease,
  grantFiguresOf,
  quotaFiguresOf,
  reportedWorkMs,
} from '@jackdawfall/core';
import type {Daemon, HeldKind, Instant} from '@jackdawfall/core';

import type {Gauge} from './types.js';

const US_PER_S = 1_000_000;
const MS_PER_S = 1000;

const HELD_HELP: Readonly<Record<HeldKind, string>> = {
  bodies: "Bytes held for callers' requests.",
  responses: 'Bytes of responses that wait for callers.',
  runs: 'Bytes of bodies that wait for the backend server.',
  links: 'Bytes of messages that wait for links.',
};

/** State of the process outside of the reducer. */
export interface ProcessFigures {
  /** Smoothed lag of the event loop, in milliseconds. */
  readonly loopLagMs: number;
  /** Open connections of callers. */
  readonly connections: number;
  /** Attempts running at the local backend server. */
  readonly runs: number;
  /** Memory held by kind, and its maximum, in bytes. */
  readonly held: Readonly<Record<HeldKind, number>>;
  readonly budgetBytes: number;
}

/**
 * Reads the current values of all gauges.
 *
 * @param daemon - The state of the daemon.
 * @param at - The current time, which decides whether the lease is valid.
 * @param figures - State of the process.
 * @returns The gauges, in the order in which they are rendered.
 */
export function readGauges(
  daemon: Daemon,
  at: Instant,
  figures: ProcessFigures,
): readonly Gauge[] {
  return [
    ...processGauges(figures),
    ...memoryGauges(figures),
    ...membershipGauges(daemon, at),
    ...requestGauges(daemon, at, figures),
    ...quotaGauges(daemon, at),
  ];
}

function processGauges(figures: ProcessFigures): Gauge[] {
  const {user, system} = process.cpuUsage();
  return [
    {
      name: 'resident_bytes',
      help: 'Resident memory of the process.',
      value: process.memoryUsage.rss(),
    },
    {
      name: 'cpu_seconds',
      help: 'Processor time of the process since its start.',
      value: (user + system) / US_PER_S,
    },
    {
      name: 'loop_lag_smoothed_seconds',
      help: 'Moving average by which timers of the event loop fire late.',
      value: figures.loopLagMs / MS_PER_S,
    },
    {
      name: 'caller_connections',
      help: 'Open connections of callers.',
      value: figures.connections,
    },
  ];
}

function memoryGauges({held, budgetBytes}: ProcessFigures): Gauge[] {
  const kinds = Object.entries(held).map(([kind, value]) => ({
    name: `held_${kind}_bytes`,
    help: HELD_HELP[kind as HeldKind],
    value,
  }));
  const help = 'Maximum of the bytes held of all kinds together.';
  return [...kinds, {name: 'held_limit_bytes', help, value: budgetBytes}];
}

function membershipGauges({ownership}: Daemon, at: Instant): Gauge[] {
  const isHeld = currentLease(ownership, at).source !== 'none';
  const {ranges, unconfirmed} = grantFiguresOf(ownership);
  return [
    {
      name: 'lease_held',
      help: '1 while this daemon holds a lease.',
      value: Number(isHeld),
    },
    {
      name: 'log_version',
      help: 'Log version that this daemon has applied.',
      value: ownership.map.version,
    },
    {
      name: 'store_era',
      help: 'Era of the store, counted from 1; it rises when the store is restored. 0 if it sends none.',
      value: ownership.restore.era,
    },
    {
      name: 'configuration_version',
      help: 'Version of the configuration in force; 0 for none.',
      value: ownership.map.configuration?.number ?? 0,
    },
    {
      name: 'configuration_invalid',
      help: '1 while the newest document of the configuration source is invalid.',
      value: Number(ownership.sourceWatch.fault !== null),
    },
    {
      name: 'members',
      help: 'Live members in the map of this daemon.',
      value: ownership.map.members.size,
    },
    {
      name: 'slice_ranges',
      help: 'Ranges of adjacent slices that this daemon owns.',
      value: ranges,
    },
    {
      name: 'slice_grants_unconfirmed',
      help: 'Slice grants that the backend server has not confirmed.',
      value: unconfirmed,
    },
  ];
}

function requestGauges(
  {routing, execution}: Daemon,
  {monotonic}: Instant,
  figures: ProcessFigures,
): Gauge[] {
  return [
    {
      name: 'requests_open',
      help: 'Requests of callers that have not been answered.',
      value: routing.requests.size,
    },
    {
      name: 'attempts_held',
      help: 'Attempts waiting for or running at the local backend server.',
      value: execution.jobs.size,
    },
    {
      name: 'work_held_seconds',
      help: 'Expected remaining run time of these attempts over the limit; 0 unless scheduling goes by cost.',
      value: reportedWorkMs(execution, monotonic) / MS_PER_S,
    },
    {
      name: 'estimate_error_ratio',
      help: 'Mean difference between a run time and its estimate, over the estimate.',
      value: execution.costs.errorShare,
    },
    {
      name: 'server_slowness_ratio',
      help: 'Latest run times of the backend server over their estimates.',
      value: execution.costs.slowness,
    },
    {
      name: 'runs_active',
      help: 'Attempts running at the local backend server.',
      value: figures.runs,
    },
  ];
}

/** The figures are sums over all tenants, whose number isn't bounded. */
function quotaGauges({quotas}: Daemon, at: Instant): Gauge[] {
  const figures = quotaFiguresOf(quotas, at);
  return [
    {
      name: 'quota_admitted',
      help: 'Requests of tenants with a quota that were admitted since the start.',
      value: figures.admitted,
    },
    {
      name: 'quota_rejected',
      help: 'Requests rejected by quota since the start.',
      value: figures.rejected,
    },
    {
      name: 'quota_permits_held',
      help: 'Requests that the shares of this daemon still admit, all tenants.',
      value: figures.permitsHeld,
    },
    {
      name: 'quota_divider',
      help: '1 while this daemon divides the quotas of tenants.',
      value: Number(figures.divides),
    },
  ];
}
