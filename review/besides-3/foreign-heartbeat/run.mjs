/**
 * @fileoverview One heartbeat of another writer, without a zone and with a
 * version that is a number, arrives at each daemon. The upstreams beside them go
 * on as before.
 */

import {request} from 'node:http';
import {dirname} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {ClientConnection} from '../../lib-3/client.mjs';
import {CannotRun, IS_TROUBLED, runCase} from '../../lib-3/fleet.mjs';

const WORK_MS = 50;
const CLIENTS = 3;
const THINK_MS = 100;
const WATCH_MS = 8000;
const HOST = 'orders.example';

async function answer({incoming, outgoing, headers}) {
  for await (const chunk of incoming) void chunk;
  await sleep(WORK_MS);
  if (!outgoing.destroyed) outgoing.writeHead(200, headers).end('recorded');
}

/** Sends one order after the other on a kept connection. */
async function runClient(endpoint, recorder, state) {
  let connection = null;
  while (!state.stopped) {
    if (connection === null || connection.ended || connection.closes) {
      connection?.destroy();
      connection = new ClientConnection(endpoint, recorder);
      await connection.opened;
    }
    const body = Buffer.alloc(1000, 'x');
    const request = {method: 'POST', host: HOST, path: '/orders/new', body};
    state.results.push(await connection.send(request));
    await sleep(THINK_MS);
  }
  connection?.destroy();
}

/** Resolves to the status of the answer. */
function sendForeignHeartbeat({upstream}) {
  const [host, port] = upstream.options.control.split(':');
  const path = '/jackdawfall/instances/foreign';
  return new Promise((resolve, reject) => {
    const outgoing = request({method: 'PUT', host, port, path, agent: false});
    outgoing.on('response', incoming => {
      incoming.resume();
      resolve(incoming.statusCode);
    });
    outgoing.on('error', reject);
    const heartbeat = {
      service: upstream.options.service,
      address: upstream.address,
      version: 7,
      slots: 9,
      state: 'ready',
      cold_remaining_s: 0,
      sequence: 1,
      born: Date.now(),
    };
    outgoing.end(JSON.stringify(heartbeat));
  });
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
    const state = {stopped: false, results: []};
    const clients = [];
    for (const {outbound} of fleet.machines) {
      for (let i = 0; i < CLIENTS; i++) {
        clients.push(runClient(outbound, recorder, state));
      }
    }
    await sleep(3000);
    const fromMs = performance.now();
    for (const machine of IS_TROUBLED ? fleet.machines : []) {
      const status = await sendForeignHeartbeat(machine);
      recorder.add({event: 'foreign heartbeat', ip: machine.ip, status});
    }
    await sleep(WATCH_MS);
    const beats = [];
    for (const {upstream} of fleet.machines) {
      beats.push(await upstream.sendHeartbeat());
    }
    state.stopped = true;
    await Promise.all(clients);
    const isServed = each => each.status === 200;
    const before = state.results.filter(each => each.sentMs < fromMs);
    if (!before.some(isServed)) throw new CannotRun('no order is answered');
    const after = state.results.filter(each => each.sentMs >= fromMs + 1000);
    const served = after.filter(isServed).length;
    recorder.add({event: 'summary', requests: after.length, served, beats});
    return served > 0;
  },
);
