/** @fileoverview Reads CPU time and memory of another process from `/proc`. */

import {readFile} from 'node:fs/promises';
import type {Usage} from './workers.js';

/** Clock ticks per second in `/proc`. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_KB = 1024;
/** Fields of `/proc/PID/stat`, counted from 0 after the command name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/**
 * Reads the resource usage of a process.
 *
 * @param pid - Id of the process.
 * @returns Its usage since its start.
 * @throws Error if there is no such process.
 */
export async function readProcessUsage(pid: number): Promise<Usage> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const rssKb = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  return {
    cpuUs: (ticks * 1_000_000) / TICKS_PER_SECOND,
    rssBytes: rssKb * BYTES_PER_KB,
    atMs: performance.now(),
  };
}
