/**
 * @fileoverview A client sends requests behind one another while the daemon on
 * its machine is stopped; requests that were passed on get no answer, since the
 * answer before them closes the connection.
 */

import {randomBytes} from 'node:crypto';
import {fileURLToPath} from 'node:url';

import {configOf} from '../lib/config.mjs';
import {BOUNDS, Fleet, runCase} from '../lib/fleet.mjs';
import {openPipeline} from '../lib/pipeline.mjs';
import {sleep} from '../lib/store.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const SERVICE = 'kafi81c';
const HOST = 'jepu9.example';
const PREFIX = '/lepu270/';
const CONNECTIONS = 4;
/** Requests that a client sends before the first of them is answered. */
const DEPTH = 3;
const DEADLINE_MS = 1200;

const fleet = new Fleet({
  machines: ['a', 'b', 'c'].map(zone => ({zone, service: SERVICE})),
  config: configOf([
    {request: 'browse', host: HOST, prefix: PREFIX, service: SERVICE},
  ]),
  workMs: 160,
  recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
});

await runCase(fleet, async () => {
  const [machine] = fleet.machines;
  const state = {stopped: false, batches: []};
  const loops = Array.from({length: CONNECTIONS}, () =>
    sendInTurn(machine, state),
  );
  await sleep(4000);
  const stoppedAt = fleet.now();
  if (TROUBLE) {
    const {daemon} = machine;
    fleet.record('SIGTERM', {machine: machine.name});
    daemon.kill('SIGTERM');
    const grace = setTimeout(
      () => daemon.kill('SIGKILL'),
      BOUNDS.grace_s * 1000,
    );
    daemon.once('exit', () => clearTimeout(grace));
  }
  await sleep(9000);
  state.stopped = true;
  await Promise.all(loops);
  return judge(state, stoppedAt);
});

/** One client: a kept connection with several requests at a time. */
async function sendInTurn(machine, state) {
  let connection = null;
  while (!state.stopped) {
    connection ??= await openPipeline(machine);
    if (connection === null) {
      await sleep(100);
      continue;
    }
    const batch = Array.from({length: DEPTH}, () =>
      randomBytes(8).toString('hex'),
    );
    const sentAt = fleet.now();
    const ends = await connection.exchange(batch.map(requestOf), DEADLINE_MS);
    fleet.record('batch', {machine: machine.name, sentAt, batch, ends});
    state.batches.push({sentAt, batch, ends});
    if (connection.closed) connection = null;
    await sleep(20);
  }
  connection?.socket.destroy();
}

function requestOf(attempt) {
  return (
    `GET ${PREFIX}${attempt} HTTP/1.1\r\nHost: ${HOST}\r\n` +
    `Attempt-Id: ${attempt}\r\nDeadline-Ms: ${DEADLINE_MS}\r\n\r\n`
  );
}

/**
 * The rule: after a SIGTERM, until 1 s after `grace_s`, a process has read a
 * whole request, passed it on to an upstream, and the connection ends without a
 * complete answer.
 */
function judge({batches}, stoppedAt) {
  const runs = new Set(
    fleet.events.filter(each => each.what === 'runs').map(each => each.attempt),
  );
  const until = stoppedAt + BOUNDS.grace_s + 1;
  const breaches = [];
  for (const {sentAt, batch, ends} of batches) {
    if (sentAt < stoppedAt || sentAt > until) continue;
    batch.forEach((attempt, at) => {
      if (ends[at] !== 0 || !runs.has(attempt)) return;
      const sinceStop = sentAt - stoppedAt;
      breaches.push({attempt, place: at + 1, sentAt, sinceStop});
    });
  }
  const sent = batches.length * DEPTH;
  const cut = batches.flatMap(each => each.ends).filter(each => each === 0);
  return {
    breaches,
    allowed: 0,
    rule: 'LOST',
    notes: {sent, cut: cut.length, stoppedAt},
  };
}
