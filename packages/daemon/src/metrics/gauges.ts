/** @fileoverview Gauges that are read whenever metrics are rendered. */

import {currentLease} from '@jackdawfall/core';
import type {Daemon, Instant} from '@jackdawfall/core';

import type {Gauge} from './types.js';

const US_PER_S = 1_000_000;

/**
 * Reads the current values of all gauges.
 *
 * @param daemon - The state of the daemon.
 * @param at - The current time, which decides whether the lease is valid.
 * @returns The gauges, in the order in which they are rendered.
 */
export function readGauges(daemon: Daemon, at: Instant): readonly Gauge[] {
  const {ownership, execution, routing} = daemon;
  const {user, system} = process.cpuUsage();
  const isHeld = currentLease(ownership, at).source !== 'none';
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
      name: 'requests_open',
      help: 'Requests of callers that have not been answered.',
      value: routing.requests.size,
    },
    {
      name: 'attempts_held',
      help: 'Attempts waiting for or running at the local backend server.',
      value: execution.jobs.size,
    },
  ];
}
