/**
 * @fileoverview Many clients send their bodies slowly. A daemon that says it is
 * ready closes every new connection, those of ordinary clients included.
 */

import {connect} from 'node:net';
import {dirname} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {ClientConnection, newAttemptId} from '../../lib-3/client.mjs';
import {CannotRun, IS_TROUBLED, runCase} from '../../lib-3/fleet.mjs';

const WORK_MS = 50;
const CONTACT_MS = 3000;
/** Slow uploads at a time, and how many begin each 20 ms. */
const UPLOADS = 1650;
const UPLOADS_A_STEP = 15;
const STEP_MS = 20;
/** Each upload sends one chunk at this interval. */
const CHUNK_MS = 600;
/** Pause before a closed upload begins again. */
const REOPEN_MS = 50;
const CLIENTS = 10;
const CLIENT_MS = 300;
const WATCH_MS = 10_000;
const MIN_CLIENTS = 7;
const HOST = 'orders.example';

async function answer({incoming, outgoing, headers}) {
  for await (const chunk of incoming) void chunk;
  await sleep(WORK_MS);
  if (!outgoing.destroyed) outgoing.writeHead(200, headers).end('recorded');
}

/** Sends each order on a new connection. */
async function runClient(name, endpoint, recorder, state) {
  while (!state.stopped) {
    const connection = new ClientConnection(endpoint, recorder);
    const beganMs = performance.now();
    const body = Buffer.alloc(1000, 'x');
    const request = {method: 'POST', host: HOST, path: '/orders/new', body};
    const result = await Promise.race([
      connection.send(request),
      sleep(2000, {status: null}),
    ]);
    connection.destroy();
    state.tries.push({name, beganMs, taken: result.status !== null});
    await sleep(CLIENT_MS);
  }
}

/** Sends a body chunk by chunk; a closed connection is opened again. */
async function upload(endpoint, recorder, state) {
  while (!state.uploadsEnded) {
    const socket = connect(endpoint);
    let isClosed = false;
    socket.on('error', () => undefined);
    socket.once('close', () => (isClosed = true));
    socket.resume();
    const attempt = newAttemptId();
    recorder.add({event: 'upload', attempt});
    socket.write(
      `POST /orders/sheet HTTP/1.1\r\nHost: ${HOST}\r\n` +
        `Attempt-Id: ${attempt}\r\nDeadline-Ms: 60000\r\n` +
        'Transfer-Encoding: chunked\r\n\r\n',
    );
    while (!isClosed && !state.uploadsEnded) {
      socket.write('5\r\nhello\r\n');
      await sleep(CHUNK_MS);
    }
    socket.destroy();
    await sleep(REOPEN_MS);
  }
}

async function pollReadiness(machine, state) {
  while (!state.stopped) {
    const isReady = await machine.isReady();
    state.readiness.push({atMs: performance.now(), isReady});
    await sleep(500);
  }
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (fleet, recorder) => {
    const service = {name: 'orders'};
    for (const zone of ['za', 'zb', 'zc']) {
      fleet.add({service, zone, upstream: {answer}});
    }
    fleet.configure({
      services: [service],
      routes: [
        {
          host: HOST,
          prefix: '/orders/',
          kind: 'non_idempotent',
          service: 'orders',
        },
      ],
    });
    await fleet.start();
    await sleep(3500);
    const [machine] = fleet.machines;
    const state = {stopped: false, uploadsEnded: false};
    Object.assign(state, {tries: [], readiness: []});
    const running = [pollReadiness(machine, state)];
    for (let i = 0; i < UPLOADS && IS_TROUBLED; i++) {
      running.push(upload(machine.outbound, recorder, state));
      if (i % UPLOADS_A_STEP === 0) await sleep(STEP_MS);
    }
    await sleep(1000);
    for (let i = 0; i < CLIENTS; i++) {
      running.push(runClient(i, machine.outbound, recorder, state));
    }
    await sleep(WATCH_MS);
    state.uploadsEnded = true;
    state.stopped = true;
    await Promise.all(running);
    return isHeld(recorder, state);
  },
);

/**
 * RECOVER: a machine in touch that says it is ready takes no new connection for
 * `contact_s`, while seven clients or more try.
 */
function isHeld(recorder, {tries, readiness}) {
  if (tries.length === 0) throw new CannotRun('no client tried');
  let longest = {ms: 0, clients: 0};
  for (const {beganMs: fromMs} of tries) {
    const later = tries.filter(each => each.beganMs >= fromMs);
    const next = later.find(each => each.taken)?.beganMs ?? Infinity;
    const span = later.filter(each => each.beganMs < next);
    const untilMs = Math.min(next, span.at(-1)?.beganMs ?? fromMs);
    const isReady = readiness
      .filter(each => each.atMs >= fromMs && each.atMs <= untilMs)
      .every(each => each.isReady);
    const clients = new Set(span.map(each => each.name)).size;
    if (isReady && clients >= MIN_CLIENTS && untilMs - fromMs > longest.ms) {
      longest = {ms: untilMs - fromMs, clients};
    }
  }
  recorder.add({
    event: 'summary',
    tries: tries.length,
    taken: tries.filter(each => each.taken).length,
    notReady: readiness.filter(each => !each.isReady).length,
    longestMs: Math.round(longest.ms),
    clients: longest.clients,
  });
  return longest.ms < CONTACT_MS;
}
