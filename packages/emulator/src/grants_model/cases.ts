/** @fileoverview Groups of steps that are searched together. */

import type {Bounds} from './types.js';

/** A search with a name. */
export interface Case {
  readonly name: string;
  readonly bounds: Bounds;
}

/** Longest delay of a call in cases about other faults. */
const SHORT_DELAY_MS = 50;

/** The cases, with the depth of the check that runs with the other tests. */
export const CASES: readonly Case[] = [
  {
    name: 'late responses to releases of cancelled moves',
    bounds: {
      calls: ['exchange', 'arrive', 'respond'],
      others: ['move', 'moveAll', 'cancel'],
      waitsMs: [50, 600],
      maxDelayMs: SHORT_DELAY_MS,
      depth: 5,
    },
  },
  {
    name: 'late responses to releases of slices that return',
    bounds: {
      // The slice's hold ends while the response to its release is awaited.
      prefix: [
        {kind: 'stopRenewals'},
        {kind: 'wait', ms: 700},
        {kind: 'exchange', call: 2},
        {kind: 'wait', ms: 350},
        {kind: 'resumeRenewals'},
        {kind: 'move'},
      ],
      calls: ['exchange', 'arrive', 'respond'],
      others: ['move', 'return'],
      waitsMs: [50, 1100],
      maxDelayMs: SHORT_DELAY_MS,
      depth: 6,
    },
  },
  {
    name: 'grants without a response, carried out late',
    bounds: {
      calls: ['exchange', 'arrive', 'defer', 'carryOut', 'fail', 'drop'],
      others: ['move'],
      waitsMs: [10, 500, 1000],
      maxDelayMs: SHORT_DELAY_MS,
      depth: 5,
    },
  },
  {
    name: 'a lease that ends while calls are on their way',
    bounds: {
      calls: ['exchange', 'arrive'],
      others: ['stopRenewals', 'resumeRenewals'],
      waitsMs: [50, 200, 500],
      maxDelayMs: null,
      depth: 6,
    },
  },
  {
    name: 'calls that are long on their way',
    bounds: {
      prefix: [{kind: 'wait', ms: 500}],
      calls: ['exchange', 'arrive', 'respond', 'fail'],
      others: ['move'],
      waitsMs: [50, 250, 1000],
      maxDelayMs: null,
      depth: 5,
    },
  },
  {
    name: 'restarts of the server and expired announcements',
    bounds: {
      calls: ['exchange', 'arrive', 'respond'],
      others: ['restart', 'refuse', 'silence', 'announce', 'move', 'end'],
      waitsMs: [50, 500],
      maxDelayMs: SHORT_DELAY_MS,
      depth: 5,
    },
  },
  {
    name: 'calls of a predecessor on the host',
    bounds: {
      prefix: [{kind: 'wait', ms: 500}, {kind: 'replace'}],
      calls: ['exchange', 'arrive', 'drop'],
      others: ['announce', 'move'],
      waitsMs: [50, 250, 1000],
      maxDelayMs: null,
      depth: 5,
    },
  },
];

/**
 * Faults that the adapters exclude, since the core can't tell them from what
 * they look like: two servers hold a slice if they occur.
 */
export const EXCLUDED: readonly Case[] = [
  {
    name: 'responses matched by connection',
    bounds: {
      calls: ['exchange', 'arrive', 'defer', 'carryOut', 'repeat'],
      others: ['move'],
      waitsMs: [50, 500],
      maxDelayMs: SHORT_DELAY_MS,
      depth: 6,
    },
  },
  {
    name: 'refused connections taken for the end of a process',
    bounds: {
      calls: ['exchange', 'arrive'],
      others: ['presumeEnded', 'announce', 'move', 'end'],
      waitsMs: [100, 600],
      maxDelayMs: SHORT_DELAY_MS,
      depth: 5,
    },
  },
  {
    name: 'calls that reach the next instance',
    bounds: {
      calls: ['exchange', 'arrive', 'misdirect'],
      others: ['restart', 'refuse', 'announce', 'move'],
      waitsMs: [50, 500],
      maxDelayMs: SHORT_DELAY_MS,
      depth: 5,
    },
  },
];
