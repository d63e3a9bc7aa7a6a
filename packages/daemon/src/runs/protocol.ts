/** @fileoverview The built-in HTTP protocol for backend servers. */

import type {Effect, Generation, Slice} from '@jackdawfall/core';

import {toHeaderRecord} from '../http/headers.js';
import type {GrantOutcome, ServerProtocol} from '../adapters/types.js';
import {limitResponse} from './excess_bytes.js';
import {endOnceConnected, timeToLiveMs} from './grants.js';

/** Id of the attempt; a server may return it to identify its response. */
const ATTEMPT_HEADER = 'x-jackdawfall-attempt';
const STATUS_UNAVAILABLE = 503;

/** Sends attempts and slice grants to backend servers. */
export const SERVER_PROTOCOL: ServerProtocol = {
  headersOf(dispatch, run) {
    const record = toHeaderRecord(dispatch.headers);
    record['x-jackdawfall-request'] = dispatch.request;
    record[ATTEMPT_HEADER] = dispatch.attempt;
    record['x-jackdawfall-service'] = dispatch.service;
    record['x-jackdawfall-generation'] = String(run.generation);
    record['x-jackdawfall-deadline-ms'] = String(Math.floor(run.budgetMs));
    if (dispatch.slice !== null) {
      record['x-jackdawfall-slice'] = String(dispatch.slice);
    }
    return record;
  },
  classifyResponse(dispatch, incoming) {
    const named = incoming.headers[ATTEMPT_HEADER];
    if (named !== undefined && named !== dispatch.attempt) return 'foreign';
    const refused =
      incoming.statusCode === STATUS_UNAVAILABLE &&
      incoming.headers['x-not-run'] === '1';
    return refused ? 'refused' : 'answer';
  },
  grant(server, effect, report) {
    const {service, until, grants, timeoutMs} = effect;
    const outgoing = server.open({
      method: 'POST',
      path: '/grants',
      headers: {'content-type': 'application/json'},
      signal: AbortSignal.timeout(timeoutMs),
    });
    limitResponse(outgoing);
    let reported = false;
    const reportAll = (outcome: GrantOutcome): void => {
      if (reported) return;
      reported = true;
      for (const grant of grants) report(grant, outcome);
    };
    outgoing.on('response', incoming => {
      // A late response to a request confirms no grants.
      if (incoming.headers[ATTEMPT_HEADER] !== undefined) {
        outgoing.destroy();
        return;
      }
      incoming.resume();
      const isConfirmed = (incoming.statusCode ?? 0) < 300;
      reportAll(isConfirmed ? 'confirmed' : 'unconfirmed');
    });
    // A grant that isn't confirmed is sent again with the next renewal.
    outgoing.on('error', () => reportAll('unconfirmed'));
    outgoing.on('close', () => reportAll('unconfirmed'));
    endOnceConnected(outgoing, () => {
      const ttlMs = timeToLiveMs(until);
      if (ttlMs === null) return null;
      return JSON.stringify({service, ...listSliceGrants(effect), ttlMs});
    });
  },
  /** With this protocol, a server releases slices when their grants expire. */
  release: () => undefined,
};

function listSliceGrants({grants}: Extract<Effect, {kind: 'grantSlices'}>): {
  slices: Slice[];
  generations: Generation[];
} {
  const slices: Slice[] = [];
  const generations: Generation[] = [];
  for (const {first, count, generation} of grants) {
    for (let step = 0; step < count; step++) {
      slices.push((first + step) as Slice);
      generations.push(generation);
    }
  }
  return {slices, generations};
}
