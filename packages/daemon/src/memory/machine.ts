/** @fileoverview Reads what the machine and the system allow the process. */

import {readFileSync} from 'node:fs';
import {getHeapStatistics} from 'node:v8';

import type {MachineLimits, Tuning} from '@jackdawfall/core';

const BYTES_PER_MB = 1024 * 1024;
const PROCESS_LIMITS_FILE = '/proc/self/limits';
const DESCRIPTOR_LIMIT = /^Max open files\s+(\d+)/m;
/** Assumed where the system doesn't tell; the usual limit of a login. */
const DEFAULT_DESCRIPTORS = 1024;

/**
 * Reads the limits of this process.
 *
 * @param tuning - What the settings say about the machine.
 * @returns The limits; of two that are known, the lower one.
 */
export function readMachineLimits(tuning: Tuning['memory']): MachineLimits {
  const allowed = tuning.descriptors === 0 ? Infinity : tuning.descriptors;
  return {
    memoryBytes: tuning.machineMb * BYTES_PER_MB,
    descriptors: Math.min(allowed, descriptorLimit()),
    heapBytes: getHeapStatistics().heap_size_limit,
  };
}

function descriptorLimit(): number {
  try {
    const text = readFileSync(PROCESS_LIMITS_FILE, 'utf8');
    return Number(DESCRIPTOR_LIMIT.exec(text)?.[1] ?? DEFAULT_DESCRIPTORS);
  } catch {
    return DEFAULT_DESCRIPTORS;
  }
}
