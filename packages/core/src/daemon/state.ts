/** @fileoverview Initial state of a daemon. */

import {createExecutionState, workViewOf} from '../execution/state.js';
import {createOwnershipState} from '../ownership/state.js';
import type {OwnershipSettings} from '../ownership/state.js';
import {createOwnershipView} from '../ownership/view.js';
import {createQuotaState} from '../quotas/state.js';
import {createQuotaGate, createQuotaMembership} from '../quotas/view.js';
import {createRoutingState} from '../routing/state.js';
import type {Daemon} from './types.js';

/**
 * Creates the state of a daemon that has not joined yet.
 *
 * @param settings - Identity and tuning of the daemon.
 * @returns The state; the reducer updates it in place.
 */
export function createDaemon(settings: OwnershipSettings): Daemon {
  const ownership = createOwnershipState(settings);
  const execution = createExecutionState(settings.tuning);
  const quotas = createQuotaState();
  const quotaMembership = createQuotaMembership(ownership);
  return {
    ownership,
    execution,
    quotas,
    routing: createRoutingState(settings.tuning, settings.zone),
    ownershipView: createOwnershipView(ownership),
    work: workViewOf(execution),
    quotaMembership,
    quotaGate: createQuotaGate(quotas, quotaMembership),
  };
}
