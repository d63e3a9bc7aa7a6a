/**
 * @fileoverview A daemon that was told to stop takes new connections and
 * requests until shortly before it is killed, and passes them on.
 */

import {fileURLToPath} from 'node:url';

import {Clients, startLoad} from '../lib/client.mjs';
import {configOf} from '../lib/config.mjs';
import {BOUNDS, Fleet, runCase} from '../lib/fleet.mjs';
import {sleep} from '../lib/store.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const SERVICE = 'kafi81c';
const HOST = 'jepu9.example';
const PREFIX = '/lepu270/';
const RATE = 9;
const WORK_MS = 2300;
const DEADLINE_MS = 3000;
/** Requests sent up to then may be cut while their upstream is at work. */
const EXCUSED_S = 3;

const fleet = new Fleet({
  machines: ['a', 'b', 'c'].map(zone => ({zone, service: SERVICE})),
  config: configOf([
    {request: 'schedule', host: HOST, prefix: PREFIX, service: SERVICE},
  ]),
  workMs: WORK_MS,
  recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
});

await runCase(fleet, async () => {
  const [machine] = fleet.machines;
  const outcomes = [];
  // Each of these clients opens a new connection, as some on a site do.
  const stopLoad = startLoad(RATE, count => {
    const clients = new Clients(fleet, machine);
    const sent = clients.send({
      host: HOST,
      path: `${PREFIX}page?n=${count}`,
      method: 'GET',
      deadlineMs: DEADLINE_MS,
    });
    outcomes.push(sent.finally(() => clients.close()));
  });
  await sleep(4000);
  const stoppedAt = fleet.now();
  if (TROUBLE) {
    const {daemon} = machine;
    fleet.record('SIGTERM', {machine: machine.name});
    daemon.kill('SIGTERM');
    const grace = setTimeout(() => {
      fleet.record('SIGKILL', {machine: machine.name});
      daemon.kill('SIGKILL');
    }, BOUNDS.grace_s * 1000);
    daemon.once('exit', () => clearTimeout(grace));
  }
  await sleep(8000);
  stopLoad();
  return judge(await Promise.all(outcomes), stoppedAt);
});

/**
 * The rule: after a SIGTERM, until 1 s after `grace_s`, a process has read a
 * whole request, passed it on to an upstream, and the connection ends without a
 * complete answer.
 */
function judge(ends, stoppedAt) {
  const runs = new Set(
    fleet.events.filter(each => each.what === 'runs').map(each => each.attempt),
  );
  const until = stoppedAt + BOUNDS.grace_s + 1;
  const breaches = [];
  for (const {attempt, sentAt, cut, at} of ends) {
    if (cut === undefined || !runs.has(attempt)) continue;
    if (sentAt <= stoppedAt + EXCUSED_S || at > until) continue;
    breaches.push({attempt, sinceStop: sentAt - stoppedAt, cutAt: at});
  }
  const served = ends.filter(each => each.status === 200).length;
  const notes = {sent: ends.length, served, stoppedAt};
  return {breaches, allowed: 0, rule: 'LOST', notes};
}
