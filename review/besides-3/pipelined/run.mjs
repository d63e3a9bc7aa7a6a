/**
 * @fileoverview Clients pipeline requests for answers of 100 kB. One upstream
 * truncates a few of its answers. Requests that were sent behind such an answer,
 * and that sound upstreams ran, lose their answers.
 */

import {dirname} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {ClientConnection} from '../../lib-3/client.mjs';
import {IS_TROUBLED, runCase} from '../../lib-3/fleet.mjs';

const WORK_MS = 60;
const ANSWER_BYTES = 100_000;
/** Share of its answers that the faulty upstream truncates. */
const TRUNCATED_SHARE = 0.05;
const CLIENTS = 4;
const PIPELINED = 4;
const RUN_MS = 30_000;
/** More requests than this break the rule. */
const MAX_LOST = 3;
const HOST = 'catalogue.example';

function createAnswer(recorder, isFaulty) {
  return async ({incoming, outgoing, headers}) => {
    incoming.resume();
    await sleep(WORK_MS);
    if (outgoing.destroyed) return;
    const body = Buffer.alloc(ANSWER_BYTES, 'x');
    outgoing.writeHead(200, {...headers, 'content-length': body.length});
    if (!isFaulty || Math.random() >= TRUNCATED_SHARE) {
      outgoing.end(body);
      return;
    }
    recorder.add({event: 'truncated', attempt: headers['attempt-id']});
    const half = body.subarray(0, ANSWER_BYTES * 0.8);
    outgoing.write(half, () => setTimeout(() => outgoing.destroy(), 20));
  };
}

/** Sends several requests at once and waits for their answers. */
async function runClient(endpoint, recorder, state) {
  let connection = null;
  while (!state.stopped) {
    if (connection === null || connection.ended || connection.closes) {
      connection?.destroy();
      connection = new ClientConnection(endpoint, recorder);
      if (!(await connection.opened)) throw new Error('no connection');
    }
    const answers = [];
    for (let i = 0; i < PIPELINED; i++) {
      answers.push(connection.send({host: HOST, path: '/catalogue/list'}));
    }
    state.results.push(...(await Promise.all(answers)));
  }
  connection?.destroy();
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (fleet, recorder) => {
    const service = {name: 'catalogue'};
    for (const [at, zone] of ['za', 'zb', 'zc'].entries()) {
      const answer = createAnswer(recorder, IS_TROUBLED && at === 2);
      fleet.add({service, zone, upstream: {answer}});
    }
    fleet.configure({
      services: [service],
      routes: [
        {
          host: HOST,
          prefix: '/catalogue/',
          kind: 'idempotent',
          service: 'catalogue',
        },
      ],
    });
    await fleet.start();
    await sleep(4000);
    const [machine, , faulty] = fleet.machines;
    const state = {stopped: false, results: []};
    const clients = [];
    for (let i = 0; i < CLIENTS; i++) {
      clients.push(runClient(machine.outbound, recorder, state));
    }
    await sleep(RUN_MS);
    state.stopped = true;
    await Promise.all(clients);
    return isHeld(recorder, state, faulty.upstream.options.id);
  },
);

/**
 * LOST: a machine in touch passes a request from a kept connection on to a sound
 * upstream and closes that connection without an answer, more than three times.
 */
function isHeld(recorder, {results}, faulty) {
  const upstreams = new Map();
  for (const {attempt, upstream} of recorder.of('run')) {
    upstreams.set(attempt, [...(upstreams.get(attempt) ?? []), upstream]);
  }
  const lost = results.filter(
    ({status, detail, attempt}) =>
      status === null &&
      detail === 'no answer' &&
      upstreams.has(attempt) &&
      !upstreams.get(attempt).includes(faulty),
  );
  recorder.add({
    event: 'summary',
    requests: results.length,
    served: results.filter(each => each.status === 200).length,
    truncated: recorder.of('truncated').length,
    lost: lost.length,
  });
  return lost.length <= MAX_LOST;
}
