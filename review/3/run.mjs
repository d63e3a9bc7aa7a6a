/**
 * @fileoverview An upstream spoils the status line of an answer; the daemon
 * that took the request from its client ends by itself.
 */

import {fileURLToPath} from 'node:url';

import {Clients, startLoad} from '../lib/client.mjs';
import {configOf} from '../lib/config.mjs';
import {Fleet, runCase} from '../lib/fleet.mjs';
import {sleep} from '../lib/store.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const BROWSE_RATE = 60;
const ORDER_RATE = 60;
/** Site file: `garble`, share = 0.6, x = 0.02 and 5.5 s at most. */
const TROUBLE_S = 5.5;
const PAUSE_S = 2;
const EPISODES = 5;
const SPOILT_SHARE = 0.02;
const CATALOGUE = 'kafi81c';
const ORDERS = 'wuno96b';
const BROWSE = {
  host: 'jepu9.example',
  path: '/lepu270/page',
  method: 'GET',
  deadlineMs: 1200,
};
const ORDER = {
  host: 'hulo84.example',
  path: '/xapu221/ny95/order',
  method: 'POST',
  deadlineMs: 1500,
  body: '{"part":"platen"}',
};

const fleet = new Fleet({
  machines: [
    {zone: 'a', service: CATALOGUE},
    {zone: 'b', service: CATALOGUE},
    {zone: 'b', service: ORDERS},
    {zone: 'c', service: ORDERS},
  ],
  config: configOf([
    {
      request: 'browse',
      host: BROWSE.host,
      prefix: '/lepu270/',
      service: CATALOGUE,
    },
    {
      request: 'order',
      host: ORDER.host,
      prefix: '/xapu221/ny95/',
      service: ORDERS,
    },
  ]),
  workMs: 150,
  recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
});

await runCase(fleet, async () => {
  const clients = fleet.machines.map(machine => new Clients(fleet, machine));
  const outcomes = [];
  const load = (rate, options) =>
    startLoad(rate, count => {
      const chosen = clients[count % clients.length];
      if (chosen.machine.ready) outcomes.push(chosen.send(options));
    });
  const stops = [load(BROWSE_RATE, BROWSE), load(ORDER_RATE, ORDER)];
  await sleep(4000);
  const [{upstream}] = fleet.machines;
  for (let episode = 0; episode < EPISODES; episode++) {
    if (TROUBLE) makeFaulty(upstream);
    await sleep(TROUBLE_S * 1000);
    upstream.answers = () => false;
    await sleep(PAUSE_S * 1000);
  }
  for (const stop of stops) stop();
  const ends = await Promise.all(outcomes);
  for (const each of clients) each.close();
  return judge(ends, upstream);
});

/** Sends bytes that are no answer: a status line with a spoilt code. */
function makeFaulty(upstream) {
  upstream.answers = (request, response) => {
    if (Math.random() >= SPOILT_SHARE) return false;
    const attempt = request.headers['attempt-id'];
    fleet.record('spoilt', {of: attempt});
    response.detachSocket(request.socket);
    request.socket.end(
      `HTTP/1.1 020 OK\r\nAttempt-Id: ${attempt}\r\n` +
        `Server-Stamp: ${upstream.id}.${attempt}\r\n` +
        'Content-Length: 5\r\n\r\ndone\n',
    );
    return true;
  };
}

/**
 * The rule: a machine in touch passes a request from a kept connection on to a
 * sound upstream and closes that connection without an answer, more than three
 * times. A process that ends by itself counts as running.
 */
function judge(ends, faulty) {
  const runsAtSound = new Set();
  for (const {what, attempt, instance} of fleet.events) {
    if (what === 'runs' && instance !== faulty.id) runsAtSound.add(attempt);
  }
  const breaches = ends.filter(
    ({attempt, kept, cut}) =>
      kept &&
      cut !== undefined &&
      cut !== 'ECONNREFUSED' &&
      runsAtSound.has(attempt),
  );
  const exits = fleet.events.filter(each => each.what === 'exit');
  const spoilt = fleet.events.filter(each => each.what === 'spoilt');
  const served = ends.filter(each => each.status === 200).length;
  const notes = {
    sent: ends.length,
    served,
    spoilt: spoilt.length,
    exits: exits.length,
    machines: new Set(exits.map(each => each.machine)).size,
  };
  return {breaches, allowed: 3, rule: 'LOST', notes};
}
