/**
 * @fileoverview A daemon that stops gets a second SIGTERM: its operator stopped
 * it, and its upstream, which was leaving, has terminated since.
 */

import {dirname} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {ClientConnection} from '../lib-3/client.mjs';
import {IS_TROUBLED, runCase} from '../lib-3/fleet.mjs';

const WORK_MS = 500;
const CLIENTS = 12;
const THINK_MS = 100;
const DRAIN_MS = 2000;
const GRACE_MS = 6000;
const DEADLINE_MS = 2000;
const HOST = 'orders.example';

async function answer({incoming, outgoing, headers}) {
  for await (const chunk of incoming) void chunk;
  await sleep(WORK_MS);
  if (outgoing.destroyed) return;
  outgoing.writeHead(200, headers).end('recorded');
}

/** Sends one order after the other; a closed connection is replaced. */
async function runClient(endpoint, recorder, state) {
  let connection = null;
  while (!state.stopped) {
    if (connection === null || connection.ended || connection.closes) {
      connection?.destroy();
      connection = new ClientConnection(endpoint, recorder);
      if (!(await connection.opened)) {
        connection = null;
        await sleep(THINK_MS);
        continue;
      }
    }
    const body = Buffer.alloc(1000, 'x');
    const request = {method: 'POST', host: HOST, path: '/orders/new', body};
    const deadlineMs = DEADLINE_MS;
    state.results.push(await connection.send({...request, deadlineMs}));
    await sleep(THINK_MS);
  }
  connection?.destroy();
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (fleet, recorder) => {
    const service = {name: 'orders'};
    const zones = ['za', 'zb', 'zc'];
    for (const zone of zones) fleet.add({service, zone, upstream: {answer}});
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
    await sleep(3000);
    const [machine] = fleet.machines;
    const {upstream} = machine;
    const state = {stopped: false, results: []};
    const clients = [];
    for (let i = 0; i < CLIENTS; i++) {
      clients.push(runClient(machine.outbound, recorder, state));
      await sleep(WORK_MS / CLIENTS);
    }
    await sleep(3000);
    // The upstream leaves as planned; the operator stops the daemon meanwhile.
    if (IS_TROUBLED) {
      upstream.state = 'draining';
      const status = await upstream.sendHeartbeat();
      recorder.add({event: 'draining', acknowledged: status});
      await sleep(DRAIN_MS + 200);
    }
    machine.signal('SIGTERM');
    const stopMs = performance.now();
    state.stopMs = stopMs;
    await sleep(800);
    if (IS_TROUBLED) {
      await upstream.call(
        'DELETE',
        `/jackdawfall/instances/${upstream.options.id}`,
      );
      upstream.close();
      recorder.add({event: 'upstream ended', upstream: upstream.options.id});
      await sleep(200);
      machine.signal('SIGTERM');
    }
    const leftMs = stopMs + GRACE_MS - performance.now();
    await Promise.race([machine.exited, sleep(leftMs)]);
    if (machine.process !== null) machine.signal('SIGKILL');
    await machine.exited;
    state.stopped = true;
    await Promise.all(clients);
    return isHeld(recorder, state, upstream.options.id);
  },
);

/**
 * LOST: a process has read a whole request and the connection ends without a
 * complete answer once it has been passed on to an upstream. Not counted are
 * requests that ran at the upstream that ended, or that reached their deadline.
 */
function isHeld(recorder, {results, stopMs}, endedUpstream) {
  const ran = new Map(
    recorder.of('run').map(each => [each.attempt, each.upstream]),
  );
  const lost = results.filter(
    each =>
      each.status === null &&
      each.ms < DEADLINE_MS &&
      ran.has(each.attempt) &&
      ran.get(each.attempt) !== endedUpstream &&
      each.sentMs < stopMs + GRACE_MS + 1000,
  );
  recorder.add({event: 'summary', requests: results.length, lost: lost.length});
  return lost.length === 0;
}
