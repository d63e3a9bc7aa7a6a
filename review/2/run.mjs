/**
 * @fileoverview A late second copy of a "not executed" answer, which names the
 * attempt that it belongs to, is taken for the answer to the next request.
 */

import {fileURLToPath} from 'node:url';

import {Clients, startLoad} from '../lib/client.mjs';
import {configOf} from '../lib/config.mjs';
import {Fleet, runCase} from '../lib/fleet.mjs';
import {sleep} from '../lib/store.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const RATE = 240;
/** Site file: `srv_grey`, how `shed all`, x = 0.55 and 8.5 s at most. */
const SHED_SHARE = 0.08;
const GREY_S = 8.5;
/** Site file: `garble`, how `extra late`, share = 0.6, x = 0.03, 5 s. */
const EXTRA_SHARE = 0.03;
const EXTRA_S = 5;
const FAULTY = 3;
const EPISODES = 9;
const PAUSE_S = 1;
const SERVICE = 'wuno96b';
const HOST = 'hulo84.example';
const PREFIX = '/xapu221/ny95/';

const fleet = new Fleet({
  machines: ['a', 'b', 'c', 'a', 'b'].map(zone => ({zone, service: SERVICE})),
  config: configOf([
    {request: 'order', host: HOST, prefix: PREFIX, service: SERVICE},
  ]),
  workMs: 100,
  recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
});

await runCase(fleet, async () => {
  const clients = fleet.machines.map(machine => new Clients(fleet, machine));
  const outcomes = [];
  const stopLoad = startLoad(RATE, count => {
    const sent = clients[count % clients.length].send({
      host: HOST,
      path: `${PREFIX}order?n=${count}`,
      method: 'POST',
      deadlineMs: 1500,
      body: JSON.stringify({order: count}),
    });
    outcomes.push(sent);
  });
  await sleep(4000);
  for (let episode = 0; episode < EPISODES; episode++) {
    if (TROUBLE) await playEpisode();
    else await sleep((GREY_S + PAUSE_S) * 1000);
  }
  await sleep(1000);
  stopLoad();
  const ends = await Promise.all(outcomes);
  await sleep(500);
  for (const each of clients) each.close();
  return judge(ends);
});

/** All upstreams shed a part; some of them also repeat answers late. */
async function playEpisode() {
  fleet.record('grey', {});
  const extras = new WeakMap();
  let garbles = true;
  for (const [at, {upstream}] of fleet.machines.entries()) {
    upstream.sheds = request => {
      if (Math.random() >= SHED_SHARE) return false;
      if (garbles && at < FAULTY && Math.random() < EXTRA_SHARE) {
        extras.set(request.socket, request.headers['attempt-id']);
      }
      return true;
    };
    upstream.onArrival = ({socket}) => repeatAnswer(socket, extras);
  }
  await sleep(EXTRA_S * 1000);
  garbles = false;
  await sleep((GREY_S - EXTRA_S) * 1000);
  for (const {upstream} of fleet.machines) upstream.sheds = () => false;
  await sleep(PAUSE_S * 1000);
}

/** The second copy arrives where the next answer is expected. */
function repeatAnswer(socket, extras) {
  const attempt = extras.get(socket);
  if (attempt === undefined) return;
  extras.delete(socket);
  fleet.record('extra', {of: attempt});
  socket.write(
    'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n' +
      `Attempt-Id: ${attempt}\r\nContent-Length: 0\r\n\r\n`,
  );
}

function judge(ends) {
  const runs = new Map();
  for (const {what, attempt} of fleet.events) {
    if (what === 'runs') runs.set(attempt, (runs.get(attempt) ?? 0) + 1);
  }
  const breaches = [];
  // These break REFUSED: the answer promises that the request hasn't run.
  let refused = 0;
  for (const {attempt, status} of ends) {
    const ran = runs.get(attempt) ?? 0;
    if (ran > 1) breaches.push({attempt, status, ran});
    if ([408, 421, 429, 503].includes(status) && ran > 0) refused += 1;
  }
  const served = ends.filter(each => each.status === 200).length;
  const extras = fleet.events.filter(each => each.what === 'extra').length;
  const notes = {sent: ends.length, served, extras, refusedThoughRun: refused};
  return {breaches, allowed: 0, rule: 'TWICE', notes};
}
