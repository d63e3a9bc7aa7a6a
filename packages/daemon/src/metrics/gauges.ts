/** @fileoverview Gauges that are read whenever metrics are rendered. */

import {currentLease, grantFiguresOf} from '@jackdawfall/core';
import type {Daemon, Instant} from '@jackdawfall/core';

import type {Gauge} from './types.js';

const US_PER_S = 1_000_000;
const MS_PER_S = 1000;

/** State of the process outside of the reducer. */
export interface ProcessFigures {
  /** Smoothed lag of the event loop, in milliseconds. */
  readonly loopLagMs: number;
  /** Open connections of callers. */
  readonly connections: number;
  /** Attempts running at the local backend server. */
  readonly runs: number;
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
    ...membershipGauges(daemon, at),
    ...requestGauges(daemon, figures),
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
      name: 'runs_active',
      help: 'Attempts running at the local backend server.',
      value: figures.runs,
    },
  ];
}
