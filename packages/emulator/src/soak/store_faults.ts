/** @fileoverview Faults of the fake store, as seen from each host. */

import type {StoreCallPlan, StoreMode} from './types.js';

const STORE_DELAY_MS = 3;
/** Maximum time until a call without a reply takes effect. */
const MAX_LATE_EFFECT_MS = 4000;
/** Share of the calls to a slow store whose reply is lost. */
const SLOW_REPLY_LOST_SHARE = 0.1;
/** Share of the calls without a reply that nevertheless take effect. */
const LOST_CALL_EFFECT_SHARE = 0.5;

/** Plans delays and losses of calls to the store. */
export class StoreFaults {
  private readonly cuts = new Map<number, number>();
  private mode: StoreMode = {kind: 'up'};
  private modeUntil = 0;

  /** @param uniform - Draws uniformly in [0, 1). */
  constructor(private readonly uniform: () => number) {}

  /**
   * Changes the mode of the store.
   *
   * @param mode - The mode.
   * @param until - Simulated time at which it ends.
   */
  setMode(mode: StoreMode, until: number): void {
    this.mode = mode;
    this.modeUntil = until;
  }

  /**
   * Partitions one host from the store.
   *
   * @param host - The host.
   * @param until - Simulated time at which it ends.
   */
  cut(host: number, until: number): void {
    this.cuts.set(host, until);
  }

  /** Ends every fault. */
  heal(): void {
    this.cuts.clear();
    this.setMode({kind: 'up'}, 0);
  }

  /**
   * Plans one call.
   *
   * @param now - Simulated time.
   * @param host - Host that calls.
   * @returns The plan.
   */
  planCall(now: number, host: number): StoreCallPlan {
    const {mode} = this;
    const base = {replyLost: false, instead: null};
    if ((this.cuts.get(host) ?? 0) > now) return this.lostCall();
    const kind = this.modeUntil > now ? mode.kind : 'up';
    switch (kind) {
      case 'up':
        return {...base, requestMs: STORE_DELAY_MS, replyMs: STORE_DELAY_MS};
      case 'down':
        return {
          requestMs: STORE_DELAY_MS,
          replyMs: STORE_DELAY_MS,
          replyLost: false,
          instead: {kind: 'refused', detail: 'outage'},
        };
      case 'silent':
        return this.lostCall();
      case 'slow': {
        const maxDelayMs = mode.kind === 'slow' ? mode.delayMs : 0;
        const requestMs = STORE_DELAY_MS + this.uniform() * maxDelayMs;
        const replyMs = STORE_DELAY_MS + this.uniform() * maxDelayMs;
        const replyLost = this.uniform() < SLOW_REPLY_LOST_SHARE;
        return {...base, requestMs, replyMs, replyLost};
      }
    }
  }

  /** Plans a call that gets no reply, and takes effect late or not at all. */
  private lostCall(): StoreCallPlan {
    const effective = this.uniform() < LOST_CALL_EFFECT_SHARE;
    return {
      requestMs: this.uniform() * MAX_LATE_EFFECT_MS,
      replyMs: 0,
      replyLost: true,
      instead: effective ? null : {kind: 'unknown', detail: 'lost'},
    };
  }
}
