/** @fileoverview Actions, faults and violations of the randomised run. */

import type {StoreReply} from '@jackdawfall/core';

/** Mode of the fake store. */
export type StoreMode =
  | {readonly kind: 'up'}
  /** Refuses every call. */
  | {readonly kind: 'down'}
  /** Accepts calls and never replies; writes may take effect late. */
  | {readonly kind: 'silent'}
  | {readonly kind: 'slow'; readonly delayMs: number};

/** One action on the cluster. Hosts are numbered from 0. */
export type Action =
  | {readonly kind: 'pass'}
  | {readonly kind: 'start'; readonly host: number}
  | {readonly kind: 'kill'; readonly host: number}
  /** Freezes the process; `still` stops its monotonic clock as well. */
  | {
      readonly kind: 'freeze';
      readonly host: number;
      readonly ms: number;
      readonly still: boolean;
    }
  /** Freezes a process and starts a second one on its host. */
  | {readonly kind: 'twin'; readonly host: number; readonly ms: number}
  | {
      readonly kind: 'cut';
      readonly from: number;
      readonly to: number;
      readonly bothWays: boolean;
      readonly ms: number;
    }
  /** Cuts the links between the host and all others; it still reaches the store. */
  | {readonly kind: 'isolate'; readonly host: number; readonly ms: number}
  | {
      readonly kind: 'slowLinks';
      readonly host: number;
      readonly delayMs: number;
      readonly ms: number;
    }
  | {readonly kind: 'store'; readonly mode: StoreMode; readonly ms: number}
  /** Restores the store to a copy of this age, after an outage. */
  | {
      readonly kind: 'restoreStore';
      readonly ageMs: number;
      readonly ms: number;
    }
  /** Partitions this host from the store. */
  | {readonly kind: 'cutStore'; readonly host: number; readonly ms: number}
  | {
      readonly kind: 'clock';
      readonly host: number;
      readonly rate: number;
      readonly wallJumpMs: number;
    }
  | {readonly kind: 'apply'; readonly host: number}
  | {
      readonly kind: 'zone';
      readonly host: number;
      readonly zone: number;
      readonly out: boolean;
    }
  | {
      readonly kind: 'stopServer';
      readonly host: number;
      readonly target: number;
    }
  | {readonly kind: 'stop'; readonly host: number}
  /** Stops the backend server without notice, or starts a new instance. */
  | {
      readonly kind: 'server';
      readonly host: number;
      readonly up: boolean;
    };

/** An action and the time that passes after it. */
export interface Step {
  readonly action: Action;
  readonly ms: number;
}

/** A broken invariant. */
export interface Violation {
  readonly invariant: string;
  readonly detail: string;
  /** Simulated time, in milliseconds. */
  readonly atMs: number;
}

/** Plan for one call to the fake store. */
export interface StoreCallPlan {
  readonly requestMs: number;
  readonly replyMs: number;
  readonly replyLost: boolean;
  /** Reply given without executing the call, or null to execute it. */
  readonly instead: StoreReply | null;
}
