/** @fileoverview What a daemon's front end needs to know of its configuration. */

import type {Instant} from '../clock/types.js';
import type {OwnershipState} from '../ownership/state.js';
import {isFreshEnough} from './freshness.js';

/**
 * Returns whether API keys are accepted: this daemon can't have missed for longer
 * than the deployment allows that one was revoked.
 *
 * @param state - State of ownership.
 * @param at - The current instant.
 * @returns Whether they are.
 */
export function acceptsApiKeys(state: OwnershipState, at: Instant): boolean {
  const {freshness, settings} = state;
  return isFreshEnough(freshness, settings.tuning.tenants, at);
}

/**
 * Returns why the newest document of the configuration's source is invalid.
 *
 * @param state - State of ownership.
 * @returns The fault, or null if the document is valid or there is none.
 */
export function configurationFaultOf(state: OwnershipState): string | null {
  return state.sourceWatch.fault;
}
