/**
 * @fileoverview Spreading the configuration of an external source. Each daemon
 * reads its source; members also tell each other the number of theirs, so that
 * a daemon whose source does not respond gets it from a peer in a few hops.
 */

import type {MemberId} from '../ids/types.js';
import {neighboursOf} from '../log_replication/reader.js';
import type {ExternalConfiguration} from '../loop/types.js';
import {applyExternalConfiguration} from '../map/logic.js';
import type {ControlMessage} from '../messages/types.js';
import {log, send} from '../ownership/effects.js';
import type {OwnershipContext} from '../ownership/state.js';

/**
 * Time for which a daemon that hears of a newer configuration waits for its own
 * source before it asks the peer for the document.
 */
const OWN_SOURCE_MS = 100;

/** A peer's newer configuration, of which only the number is known. */
export interface HeardConfiguration {
  readonly number: number;
  readonly from: MemberId;
  /** Monotonic time at which the daemon asks for it, in milliseconds. */
  readonly askAt: number;
}

/**
 * Adopts an external configuration from the source or from another member, if
 * its number is the highest so far, and tells the number to the members at
 * distances 1, 2, 4 and so on in the ring, each of which does the same.
 *
 * @param context - Context of the current input.
 * @param configuration - The configuration.
 */
export function adoptConfiguration(
  context: OwnershipContext,
  configuration: ExternalConfiguration,
): void {
  const {state} = context;
  const {number, document, zonesOut} = configuration;
  if (number <= currentNumber(context)) return;
  state.externalConfiguration = {number, document, zonesOut};
  applyExternalConfiguration(state.map, state.externalConfiguration);
  state.placementCheckedVersion = -1;
  state.runTasksNow = true;
  log(context, 'configurationInForce', {number, zonesOut: zonesOut.join(' ')});
  for (const neighbour of neighboursOf(context)) {
    send(context, neighbour, {kind: 'configurationNumber', number});
  }
}

/**
 * Handles a peer's configuration or its number: sends the document to a peer
 * with an older one, and remembers a newer one of which only the number is
 * known.
 *
 * @param context - Context of the current input.
 * @param from - The peer.
 * @param message - The message.
 */
export function handleConfigurationMessage(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<
    ControlMessage,
    {kind: 'configuration' | 'configurationNumber'}
  >,
): void {
  if (message.kind === 'configuration') {
    adoptConfiguration(context, message);
    return;
  }
  const {number} = message;
  const {state, at} = context;
  const own = currentNumber(context);
  if (number < own && state.externalConfiguration !== null) {
    send(context, from, {
      kind: 'configuration',
      ...state.externalConfiguration,
    });
  }
  if (number <= Math.max(own, state.heardConfiguration?.number ?? 0)) return;
  const askAt = at.monotonic + OWN_SOURCE_MS;
  state.heardConfiguration = {number, from, askAt};
}

/**
 * Asks the peer that has a newer configuration for it, by telling it the number
 * of this daemon's.
 *
 * @param context - Context of the current input.
 */
export function requestConfigurationIfDue(context: OwnershipContext): void {
  const {state, at} = context;
  const heard = state.heardConfiguration;
  if (heard === null || at.monotonic < heard.askAt) return;
  state.heardConfiguration = null;
  const number = currentNumber(context);
  if (heard.number <= number) return;
  send(context, heard.from, {kind: 'configurationNumber', number});
}

function currentNumber({state}: OwnershipContext): number {
  return state.externalConfiguration?.number ?? 0;
}
