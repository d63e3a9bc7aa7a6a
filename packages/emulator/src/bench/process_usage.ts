/** @fileoverview Processor time and memory of another process. */

import {readFile} from 'node:fs/promises';
import type {Usage} from './workers.js';

/** Clock ticks a second in the kernel's figures. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_KB = 1024;
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/**
 * Reads what a process has used, from the kernel.
 *
 * @param pid - The process.
 * @returns Its usage so far.
 * @throws Error when there is no such process.
 */
export async function usageOf(pid: number): Promise<Usage> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
  const rssKb = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  return {
    cpuUs: (ticks * 1_000_000) / TICKS_PER_SECOND,
    rssBytes: rssKb * BYTES_PER_KB,
    atMs: performance.now(),
  };
}
