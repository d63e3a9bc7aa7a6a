/** @fileoverview Validates partial tuning and merges it with the defaults. */

import {z} from 'zod';

import {DEFAULT_TUNING} from './defaults.js';
import type {Tuning} from './defaults.js';
import {checkLeaseTimes} from './lease_times.js';

/** Tuning in which any section or value may be missing. */
export type PartialTuning = {
  readonly [S in keyof Tuning]?:
    {readonly [K in keyof Tuning[S]]?: Tuning[S][K] | undefined} | undefined;
};

/** Names of log levels, the most verbose first. */
export const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error'] as const;

/** Schema of partial tuning: only keys of the defaults are allowed. */
export const tuningSchema: z.ZodType<PartialTuning> = z
  .strictObject(mapValues(DEFAULT_TUNING, sectionSchema))
  .superRefine((value, context) => {
    const {loop, leases} = mergeTuning(value);
    const report = (path: string[], message: string): void => {
      context.addIssue({code: 'custom', path, message});
    };
    if (loop.tickMs < 1) report(['loop', 'tickMs'], 'must be at least 1');
    for (const {name, message} of checkLeaseTimes({loop, leases})) {
      report(['leases', name], message);
    }
  });

/**
 * Merges partial tuning with the defaults.
 *
 * @param partial - Validated partial tuning.
 * @returns Complete tuning, a new object.
 */
export function mergeTuning(partial: PartialTuning): Tuning {
  const given: Readonly<Record<string, object | undefined>> = partial;
  const merged = mapValues(DEFAULT_TUNING, (section, name) => ({
    ...section,
    ...given[name],
  }));
  return merged as Tuning;
}

function sectionSchema(section: object): z.ZodType {
  return z.strictObject(mapValues(section, valueSchema)).optional();
}

function valueSchema(value: unknown): z.ZodType {
  if (typeof value === 'number') return z.number().min(0).optional();
  if (typeof value === 'boolean') return z.boolean().optional();
  return z.enum(LOG_LEVELS).optional();
}

function mapValues<T extends object, V>(
  values: T,
  change: (value: T[keyof T], name: string) => V,
): Record<string, V> {
  const entries = Object.entries(values) as Array<[string, T[keyof T]]>;
  return Object.fromEntries(
    entries.map(([name, value]) => [name, change(value, name)]),
  );
}
