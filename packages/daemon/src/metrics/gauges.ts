/** @fileoverview Values of a daemon that are read when metrics are asked for. */

import {currentLease} from '@jackdawfall/core';
import type {Daemon, Instant} from '@jackdawfall/core';

import type {Gauge} from './types.js';

const US_PER_S = 1_000_000;

/**
 * Reads the values of now.
 *
 * @param daemon - The state of the daemon.
 * @param at - The instant, for the lease.
 * @returns The gauges, in the order they are rendered.
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
      help: 'Version of the configuration in force here; 0 for none.',
      value: ownership.map.configuration?.number ?? 0,
    },
    {
      name: 'members',
      help: 'Live members that this daemon knows.',
      value: ownership.map.members.size,
    },
    {
      name: 'requests_open',
      help: 'Requests of callers that are not answered yet.',
      value: routing.requests.size,
    },
    {
      name: 'attempts_held',
      help: 'Attempts that wait or run at the backend server beside it.',
      value: execution.jobs.size,
    },
  ];
}
