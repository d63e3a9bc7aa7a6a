/** @fileoverview Calls to the backend server that are under way. */

/** Maximum number of calls of one kind that are under way at a time. */
export const MAX_CALLS_UNDER_WAY = 8;
/** Time after which a call counts as ended although nothing was reported. */
export const CALL_TIMEOUT_MS = 1500;

/**
 * Frees the places of calls of which nothing was reported in time.
 *
 * @param calls - Monotonic times at which the calls began, by their keys.
 * @param now - Monotonic time, in milliseconds.
 */
export function dropOverdueCalls(
  calls: Map<string, number>,
  now: number,
): void {
  for (const [key, begunAt] of calls) {
    if (now - begunAt >= CALL_TIMEOUT_MS) calls.delete(key);
  }
}
