/** @fileoverview How calls of the randomised run reach the fake platform. */

import type {Passage, StoreMode} from './types.js';

const STORE_MS = 3;
/** Longest time until a call without an answer takes effect. */
const LATE_MS = 4000;
const SLOW_LOST_SHARE = 0.1;
const EFFECTIVE_SHARE = 0.5;

/** The state of the platform as each host meets it. */
export class Passages {
  private readonly cuts = new Map<number, number>();
  private mode: StoreMode = {kind: 'up'};
  private until = 0;

  /** @param uniform - Draws uniformly in [0, 1). */
  constructor(private readonly uniform: () => number) {}

  /**
   * Changes how the platform behaves.
   *
   * @param mode - The behaviour.
   * @param until - Global time at which it ends.
   */
  set(mode: StoreMode, until: number): void {
    this.mode = mode;
    this.until = until;
  }

  /**
   * Cuts one host off.
   *
   * @param host - The host.
   * @param until - Global time at which it ends.
   */
  cut(host: number, until: number): void {
    this.cuts.set(host, until);
  }

  /** Ends every fault. */
  heal(): void {
    this.cuts.clear();
    this.set({kind: 'up'}, 0);
  }

  /**
   * Finds a call's way.
   *
   * @param now - Global time.
   * @param host - The caller's host.
   * @returns The way.
   */
  passageOf(now: number, host: number): Passage {
    const {mode} = this;
    const plain = {replyLost: false, instead: null};
    if ((this.cuts.get(host) ?? 0) > now) return this.lost();
    const kind = this.until > now ? mode.kind : 'up';
    switch (kind) {
      case 'up':
        return {...plain, requestMs: STORE_MS, replyMs: STORE_MS};
      case 'down':
        return {
          requestMs: STORE_MS,
          replyMs: STORE_MS,
          replyLost: false,
          instead: {kind: 'refused', detail: 'outage'},
        };
      case 'silent':
        return this.lost();
      case 'slow': {
        const most = mode.kind === 'slow' ? mode.delayMs : 0;
        const requestMs = STORE_MS + this.uniform() * most;
        const replyMs = STORE_MS + this.uniform() * most;
        const replyLost = this.uniform() < SLOW_LOST_SHARE;
        return {...plain, requestMs, replyMs, replyLost};
      }
    }
  }

  /** A call that takes effect late, perhaps, and is never answered. */
  private lost(): Passage {
    const effective = this.uniform() < EFFECTIVE_SHARE;
    return {
      requestMs: this.uniform() * LATE_MS,
      replyMs: 0,
      replyLost: true,
      instead: effective ? null : {kind: 'unknown', detail: 'lost'},
    };
  }
}
