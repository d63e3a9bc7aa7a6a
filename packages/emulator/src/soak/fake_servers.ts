/**
 * @fileoverview Fakes of the backend servers. They check fencing tokens, let
 * slice grants expire by a slow clock, and apply some grants late.
 */

import type {Slice, SliceGrant} from '@jackdawfall/core';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Time of one exchange with the local backend server. */
export const SERVER_EXCHANGE_MS = 2;
/** Maximum wait for a slow connection, and the share of grants that wait. */
const MAX_CONNECT_MS = 400;
const SLOW_CONNECT_SHARE = 0.05;
/** Share of grants that are applied late and not confirmed. */
const LATE_SHARE = 0.03;
const MIN_LATE_MS = 2000;
const MAX_LATE_MS = 12_000;
/** Factor by which grants last longer, because a server's clock is slow. */
const SLOW_CLOCK_FACTOR = 1.02;
const UINT32 = 2 ** 32;

/** A slice that a server holds. */
interface HeldSlice {
  generation: number;
  /** Simulated time at which it expires, in milliseconds. */
  expiresAt: number;
}

/** Delays of one slice grant. */
export interface GrantDelays {
  /** Time until it is written, in milliseconds. */
  readonly connectMs: number;
  /** Time from its arrival until it is applied, in milliseconds. */
  readonly lateMs: number;
}

/** The backend servers of all hosts, and the slices they hold. */
export class FakeServers {
  private readonly random;
  private readonly instances = new Map<number, number>();
  private readonly heldSlices = new Map<number, Map<Slice, HeldSlice>>();

  /**
   * @param seed - Seed of the delays, apart from the cluster's randomness.
   * @param faulty - Whether grants may be delayed and applied late.
   */
  constructor(
    seed: number,
    private readonly faulty: boolean,
  ) {
    this.random = xoroshiro128plus(seed);
  }

  /**
   * Numbers the instances of a host's server.
   *
   * @param host - The host.
   * @returns Number of the current instance.
   */
  instanceOf(host: number): number {
    return this.instances.get(host) ?? 0;
  }

  /**
   * Ends the server of a host; its next instance holds no slices.
   *
   * @param host - The host.
   */
  end(host: number): void {
    this.instances.set(host, this.instanceOf(host) + 1);
    this.heldSlices.delete(host);
  }

  /**
   * Draws the delays of a grant.
   *
   * @returns The delays.
   */
  drawDelays(): GrantDelays {
    if (!this.faulty) return {connectMs: SERVER_EXCHANGE_MS, lateMs: 0};
    const isSlow = this.uniform() < SLOW_CONNECT_SHARE;
    const connectMs =
      SERVER_EXCHANGE_MS + (isSlow ? this.uniform() * MAX_CONNECT_MS : 0);
    const isLate = this.uniform() < LATE_SHARE;
    const span = MAX_LATE_MS - MIN_LATE_MS;
    const lateMs = isLate ? MIN_LATE_MS + this.uniform() * span : 0;
    return {connectMs, lateMs};
  }

  /**
   * Applies a grant.
   *
   * @param now - Simulated time.
   * @param host - The host.
   * @param grant - The grant.
   * @param arrived - Simulated time of its arrival, at which its time to live begins.
   * @param ttlMs - Its time to live.
   * @returns Another holder of a granted slice, described, or null.
   */
  applyGrant(
    now: number,
    host: number,
    grant: SliceGrant,
    arrived: number,
    ttlMs: number,
  ): string | null {
    const own = this.heldSlices.get(host) ?? new Map<Slice, HeldSlice>();
    this.heldSlices.set(host, own);
    const expiresAt = arrived + ttlMs * SLOW_CLOCK_FACTOR;
    const {generation, first, count} = grant;
    let conflict: string | null = null;
    for (let slice = first; slice < first + count; slice++) {
      const held = own.get(slice);
      if (held !== undefined && held.generation > generation) continue;
      if (expiresAt <= now) continue;
      own.set(slice, {generation, expiresAt});
      conflict ??= this.otherHolder(now, host, slice);
    }
    return conflict;
  }

  /**
   * Releases slices.
   *
   * @param host - The host.
   * @param grant - The slices.
   */
  release(host: number, grant: SliceGrant): void {
    const {first, count, generation} = grant;
    const own = this.heldSlices.get(host);
    for (let slice = first; slice < first + count; slice++) {
      const held = own?.get(slice);
      if (held !== undefined && held.generation <= generation) {
        held.expiresAt = 0;
      }
    }
  }

  private otherHolder(now: number, host: number, slice: Slice): string | null {
    for (const [other, heldSlices] of this.heldSlices) {
      const held = heldSlices.get(slice);
      if (other === host || held === undefined || held.expiresAt <= now) {
        continue;
      }
      return `servers of h${host} and h${other} hold slice ${slice}`;
    }
    return null;
  }

  private uniform(): number {
    return (this.random.next() >>> 0) / UINT32;
  }
}
