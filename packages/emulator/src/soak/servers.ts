/**
 * @fileoverview The backend servers of the randomised run: they check fence
 * tokens, let grants lapse by a slow clock, and carry some grants out late.
 */

import type {SliceGrant, Slice} from '@jackdawfall/core';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Time of an exchange with the backend server on the same host. */
export const SERVER_MS = 2;
/** Longest wait for a connection, and the share of grants that have one. */
const CONNECT_MS = 400;
const CONNECT_SHARE = 0.05;
/** Share of grants that are carried out late and not answered. */
const LATE_SHARE = 0.03;
const LEAST_LATE_MS = 2000;
const MOST_LATE_MS = 12_000;
/** How much longer a server's clock takes for the same time. */
const SLOW_CLOCK = 1.02;
const UINT32 = 2 ** 32;

/** What a server holds of a slice. */
interface Hold {
  generation: number;
  /** Global time at which it lapses. */
  until: number;
}

/** How one grant travels. */
export interface Delivery {
  /** Time until it is written. */
  readonly connectMs: number;
  /** Time from its arrival until it is carried out. */
  readonly lateMs: number;
}

/** What the backend servers of all hosts hold. */
export class Servers {
  private readonly random;
  private readonly lives = new Map<number, number>();
  private readonly holds = new Map<number, Map<Slice, Hold>>();

  /**
   * @param seed - Seed of this object's own randomness.
   * @param faulty - Whether grants may be delayed and carried out late.
   */
  constructor(
    seed: number,
    private readonly faulty: boolean,
  ) {
    this.random = xoroshiro128plus(seed);
  }

  /**
   * Counts the lives of a host's server.
   *
   * @param host - The host.
   * @returns The number of its present life.
   */
  lifeOf(host: number): number {
    return this.lives.get(host) ?? 0;
  }

  /**
   * Ends the server of a host; the next one holds nothing.
   *
   * @param host - The host.
   */
  end(host: number): void {
    this.lives.set(host, this.lifeOf(host) + 1);
    this.holds.delete(host);
  }

  /**
   * Draws how a grant travels.
   *
   * @returns The delays.
   */
  draw(): Delivery {
    if (!this.faulty) return {connectMs: SERVER_MS, lateMs: 0};
    const connects = this.uniform() < CONNECT_SHARE;
    const connectMs = SERVER_MS + (connects ? this.uniform() * CONNECT_MS : 0);
    const isLate = this.uniform() < LATE_SHARE;
    const span = MOST_LATE_MS - LEAST_LATE_MS;
    const lateMs = isLate ? LEAST_LATE_MS + this.uniform() * span : 0;
    return {connectMs, lateMs};
  }

  /**
   * Carries a grant out.
   *
   * @param now - Global time.
   * @param host - The host.
   * @param grant - The grant.
   * @param arrived - Global time of its arrival, from which it runs.
   * @param ttlMs - Its time to live.
   * @returns What was seen of another holder, or null.
   */
  take(
    now: number,
    host: number,
    grant: SliceGrant,
    arrived: number,
    ttlMs: number,
  ): string | null {
    const own = this.holds.get(host) ?? new Map<Slice, Hold>();
    this.holds.set(host, own);
    const until = arrived + ttlMs * SLOW_CLOCK;
    const {generation, first, count} = grant;
    let seen: string | null = null;
    for (let at = first; at < first + count; at++) {
      const known = own.get(at);
      if (known !== undefined && known.generation > generation) continue;
      if (until <= now) continue;
      own.set(at, {generation, until});
      seen ??= this.otherHolder(now, host, at);
    }
    return seen;
  }

  /**
   * Gives slices back.
   *
   * @param host - The host.
   * @param grant - The slices.
   */
  release(host: number, grant: SliceGrant): void {
    const {first, count, generation} = grant;
    const own = this.holds.get(host);
    for (let at = first; at < first + count; at++) {
      const known = own?.get(at);
      if (known !== undefined && known.generation <= generation) {
        known.until = 0;
      }
    }
  }

  private otherHolder(now: number, host: number, slice: Slice): string | null {
    for (const [other, holds] of this.holds) {
      const hold = holds.get(slice);
      if (other === host || hold === undefined || hold.until <= now) continue;
      return `servers of h${host} and h${other} hold slice ${slice}`;
    }
    return null;
  }

  private uniform(): number {
    return (this.random.next() >>> 0) / UINT32;
  }
}
