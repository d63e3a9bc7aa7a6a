/** @fileoverview What a running daemon depends on. */

import type {Daemon, MemberId} from '@jackdawfall/core';

import type {Adapters} from '../adapters/types.js';
import type {Logger} from '../logs/types.js';
import type {Metrics} from '../metrics/types.js';
import type {Settings} from '../settings/types.js';

/** Dependencies of the runtime. */
export interface DaemonRuntimeOptions {
  readonly settings: Settings;
  readonly adapters: Adapters;
  readonly daemon: Daemon;
  /** Member id of this process until it joins again under a new one. */
  readonly member: MemberId;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: () => number;
  /** Called when the daemon has left the workspace after a planned stop. */
  readonly onLeft: () => void;
  /** Called when an invariant is violated. */
  readonly onInvariantViolation: (invariant: string, detail: string) => void;
  readonly signal: AbortSignal;
}
