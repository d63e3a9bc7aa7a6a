/** @fileoverview Faults and actions of the randomised run. */

import type {StoreReply} from '@jackdawfall/core';

/** How the fake platform behaves. */
export type StoreMode =
  | {readonly kind: 'up'}
  /** Refuses every call. */
  | {readonly kind: 'down'}
  /** Takes calls and never answers; writes may take effect late. */
  | {readonly kind: 'silent'}
  | {readonly kind: 'slow'; readonly delayMs: number};

/** One action on the cluster. Hosts are numbered from 0. */
export type Action =
  | {readonly kind: 'pass'}
  | {readonly kind: 'start'; readonly host: number}
  | {readonly kind: 'kill'; readonly host: number}
  /** The process stands still; `still`: so does its monotonic clock. */
  | {
      readonly kind: 'freeze';
      readonly host: number;
      readonly ms: number;
      readonly still: boolean;
    }
  /** Starts a successor while the predecessor is frozen and unaware. */
  | {readonly kind: 'twin'; readonly host: number; readonly ms: number}
  | {
      readonly kind: 'cut';
      readonly from: number;
      readonly to: number;
      readonly bothWays: boolean;
      readonly ms: number;
    }
  /** The host reaches no other host, but still the platform. */
  | {readonly kind: 'isolate'; readonly host: number; readonly ms: number}
  | {
      readonly kind: 'slowLinks';
      readonly host: number;
      readonly delayMs: number;
      readonly ms: number;
    }
  | {readonly kind: 'store'; readonly mode: StoreMode; readonly ms: number}
  /** The host alone loses the platform. */
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
  /** The backend server goes silent or starts anew. */
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

/** A broken promise of the product. */
export interface Violation {
  readonly invariant: string;
  readonly detail: string;
  /** Global time, in milliseconds. */
  readonly atMs: number;
}

/** A call's way through the fake platform. */
export interface Passage {
  readonly requestMs: number;
  readonly replyMs: number;
  readonly replyLost: boolean;
  /** Reply without effect, or null to carry the call out. */
  readonly instead: StoreReply | null;
}
