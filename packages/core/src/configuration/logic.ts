/**
 * @fileoverview Spreading the configuration of an external source. Members tell
 * each other the number of theirs, so that a daemon that doesn't watch the
 * source, or that doesn't reach it, gets the configuration from a peer in a few
 * hops.
 */

import type {MemberId} from '../ids/types.js';
import {neighboursOf} from '../log_replication/reader.js';
import type {ExternalConfiguration} from '../loop/types.js';
import {applyExternalConfiguration} from '../map/logic.js';
import type {ControlMessage} from '../messages/types.js';
import {log, send} from '../ownership/effects.js';
import type {OwnershipContext} from '../ownership/state.js';
import {
  NO_ERA,
  makeConfigurationNumber,
  parseConfigurationNumber,
} from '../restore/era.js';
import {recordEra} from '../restore/logic.js';
import {recordConfirmation, sourceWatchDelayMs} from './source.js';

/**
 * Time for which a daemon that watches the source and hears of a newer
 * configuration waits for its source before it asks the peer for the document.
 */
const OWN_SOURCE_MS = 100;

/** Time after which a peer that was asked for the document is given up. */
const ASK_TIMEOUT_MS = 300;

/** A peer's newer configuration, of which only the number is known. */
export interface HeardConfiguration {
  readonly number: number;
  readonly from: MemberId;
  /** Whether the peer was asked for the document. */
  readonly asked: boolean;
  /**
   * Monotonic time at which the peer is asked or, if it was, given up, in
   * milliseconds.
   */
  readonly dueAt: number;
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
  recordEra(context, parseConfigurationNumber(configuration.number).era);
  if (configuration.number <= currentNumber(context)) return;
  const {number, document, zonesOut} = withoutRegress(
    state.externalConfiguration,
    configuration,
  );
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
    {
      kind: 'configuration' | 'configurationNumber' | 'configurationConfirmed';
    }
  >,
): void {
  if (message.kind === 'configuration') {
    adoptConfiguration(context, message);
    return;
  }
  const {number} = message;
  const {state, at} = context;
  recordEra(context, parseConfigurationNumber(number).era);
  if (message.kind === 'configurationConfirmed') {
    recordConfirmation(context, from, message);
  }
  const own = currentNumber(context);
  if (number < own && state.externalConfiguration !== null) {
    send(context, from, {
      kind: 'configuration',
      ...state.externalConfiguration,
    });
  }
  if (number <= Math.max(own, state.heardConfiguration?.number ?? 0)) return;
  const waitMs = sourceWatchDelayMs(state, at) === 0 ? OWN_SOURCE_MS : 0;
  const dueAt = at.monotonic + waitMs;
  state.heardConfiguration = {number, from, asked: false, dueAt};
  requestConfigurationIfDue(context);
}

/**
 * Asks the peer that has a newer configuration for it, by telling it the number
 * of this daemon's. A peer that doesn't reply is given up; the next one from
 * which the number is heard is asked then.
 *
 * @param context - Context of the current input.
 */
export function requestConfigurationIfDue(context: OwnershipContext): void {
  const {state, at} = context;
  const heard = state.heardConfiguration;
  if (heard === null || at.monotonic < heard.dueAt) return;
  const number = currentNumber(context);
  if (heard.asked || heard.number <= number) {
    state.heardConfiguration = null;
    return;
  }
  const dueAt = at.monotonic + ASK_TIMEOUT_MS;
  state.heardConfiguration = {...heard, asked: true, dueAt};
  send(context, heard.from, {kind: 'configurationNumber', number});
}

/**
 * Keeps what is in force and a restored source may have lost: a document with a
 * higher version of the operator, and, until the operator has had the time to
 * write its rows again, evacuated zones. The result ranks just above the
 * configuration that was read, so that it spreads.
 *
 * @param own - The configuration in force, or null.
 * @param read - The one that was read, with a higher number.
 * @returns The configuration to put in force.
 */
export function withoutRegress(
  own: ExternalConfiguration | null,
  read: ExternalConfiguration,
): ExternalConfiguration {
  const parts = parseConfigurationNumber(read.number);
  if (own === null || parts.era === NO_ERA) return read;
  const keepsDocument = versionOf(own.document) > versionOf(read.document);
  const kept = own.zonesOut.filter(zone => !read.zonesOut.includes(zone));
  const keepsZones = !parts.settled && kept.length > 0;
  if (!keepsDocument && !keepsZones) return read;
  return {
    number: makeConfigurationNumber({...parts, merged: true}),
    document: keepsDocument ? own.document : read.document,
    zonesOut: keepsZones ? [...read.zonesOut, ...kept].sort() : read.zonesOut,
  };
}

/** Returns the operator's version of a document. */
function versionOf(document: string): number {
  return (JSON.parse(document) as {version: number}).version;
}

function currentNumber({state}: OwnershipContext): number {
  return state.externalConfiguration?.number ?? 0;
}
