/** @fileoverview The built-in HTTP protocol for backend servers. */

import type {ClientRequest, IncomingMessage} from 'node:http';

import type {Effect, Generation, Slice, SliceGrant} from '@jackdawfall/core';

import {toHeaderRecord} from '../http/headers.js';
import type {
  GrantOutcome,
  ServerConnections,
  ServerProtocol,
} from '../adapters/types.js';
import {limitResponse} from './excess_bytes.js';
import {ASKING_HEADERS, BodySender, timeToLiveMs} from './grants.js';

/** Id of the attempt; a server may return it to identify its response. */
const ATTEMPT_HEADER = 'x-jackdawfall-attempt';
const STATUS_UNAVAILABLE = 503;
/** Token for the next owner of released slices. */
const HANDOVER_HEADER = 'x-jackdawfall-handover';
/** Longer than for grants: a server first finishes its work on the slices. */
const RELEASE_TIMEOUT_MS = 1200;

const bodies = new BodySender(null);

/** Sends attempts, slice grants and releases to backend servers. */
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
    const handovers = handoversOf(effect);
    let written = false;
    const body = (outgoing: ClientRequest): string | null => {
      const ttlMs = timeToLiveMs(until);
      if (ttlMs === null || !server.reachesProcess(outgoing)) return null;
      written = true;
      const slices = listSliceGrants(grants);
      return JSON.stringify({service, ...slices, ttlMs, ...handovers});
    };
    const reportAll = (outcome: GrantOutcome): void => {
      for (const grant of grants) report(grant, outcome);
    };
    postCall(server, '/grants', timeoutMs, body, {
      done: () => reportAll('confirmed'),
      // A grant that isn't confirmed is sent again with the next renewal.
      failed: () => reportAll(written ? 'unconfirmed' : 'not-written'),
    });
  },
  release(server, {service, grants}, released) {
    for (const grant of grants) {
      const body = (outgoing: ClientRequest) =>
        server.reachesProcess(outgoing)
          ? JSON.stringify({service, ...listSliceGrants([grant])})
          : null;
      postCall(server, '/releases', RELEASE_TIMEOUT_MS, body, {
        done: ({headers}) => {
          const handover = headers[HANDOVER_HEADER];
          released(grant, typeof handover === 'string' ? handover : null);
        },
        // The server holds the slices until their grants expire.
        failed: () => undefined,
      });
    }
  },
};

/** What follows the end of a call; exactly one of the two is called. */
interface CallEnd {
  done(incoming: IncomingMessage): void;
  failed(): void;
}

/**
 * Sends a call on a connection of its own: nothing in a response tells which
 * call it belongs to. The body is written once the server asks for it: a server
 * that stands still would read it later, and hold slices that it lost meanwhile.
 */
function postCall(
  server: ServerConnections,
  path: string,
  timeoutMs: number,
  body: (outgoing: ClientRequest) => string | null,
  end: CallEnd,
): void {
  const outgoing = server.openUnshared({
    method: 'POST',
    path,
    headers: {'content-type': 'application/json', ...ASKING_HEADERS},
    signal: AbortSignal.timeout(timeoutMs),
  });
  limitResponse(outgoing);
  let ended = false;
  const fail = (): void => {
    if (!ended) end.failed();
    ended = true;
  };
  outgoing.on('response', incoming => {
    // The response belongs to a request, or refuses to read the call.
    const isForeign = incoming.headers[ATTEMPT_HEADER] !== undefined;
    if (isForeign || !outgoing.writableEnded) {
      outgoing.destroy();
      return;
    }
    incoming.resume();
    const {statusCode = 0} = incoming;
    if (statusCode < 200 || statusCode >= 300) return fail();
    if (!ended) end.done(incoming);
    ended = true;
  });
  outgoing.on('error', fail);
  outgoing.on('close', fail);
  bodies.sendWhenAsked(server, outgoing, () => body(outgoing));
}

/** Lists the tokens from the last holders of the slices, if there are any. */
function handoversOf({grants}: Extract<Effect, {kind: 'grantSlices'}>): {
  handovers?: Array<string | null>;
} {
  if (grants.every(({handover}) => handover === null)) return {};
  const handovers = grants.flatMap(({count, handover}) =>
    Array<string | null>(count).fill(handover),
  );
  return {handovers};
}

function listSliceGrants(grants: readonly SliceGrant[]): {
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
