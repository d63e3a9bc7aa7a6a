/**
 * @fileoverview An upstream announces its shutdown to a daemon that was just
 * started again; a heartbeat from before arrives seconds late and brings the
 * upstream back.
 */

import {fileURLToPath} from 'node:url';

import {Clients, startLoad} from '../lib/client.mjs';
import {configOf} from '../lib/config.mjs';
import {BOUNDS, Fleet, runCase} from '../lib/fleet.mjs';
import {sleep} from '../lib/store.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const RATE = 60;
/** The delay of the late heartbeat. */
const LATE_MS = 3000;
/** The upstream serves on for so long after its shutdown was acknowledged. */
const SERVES_ON_MS = 9000;
const SERVICE = 'kafi81c';
const HOST = 'jepu9.example';
const PREFIX = '/lepu270/';

const fleet = new Fleet({
  machines: ['a', 'b', 'c'].map(zone => ({zone, service: SERVICE})),
  config: configOf([
    {request: 'browse', host: HOST, prefix: PREFIX, service: SERVICE},
  ]),
  workMs: 100,
  recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
});

await runCase(fleet, async () => {
  const clients = fleet.machines.map(machine => new Clients(fleet, machine));
  const outcomes = [];
  const stopLoad = startLoad(RATE, count => {
    const chosen = clients[count % clients.length];
    if (!chosen.machine.ready) return;
    const sent = chosen.send({
      host: HOST,
      path: `${PREFIX}page?n=${count}`,
      method: 'GET',
      deadlineMs: 1200,
    });
    outcomes.push(sent);
  });
  await sleep(4000);
  const [machine] = fleet.machines;
  const {upstream} = machine;
  if (TROUBLE) await restart(machine);
  // Its last heartbeat is on its way for some seconds.
  upstream.stopBeats();
  const last = upstream.nextBeat();
  fleet.record('heartbeat sent', {machine: machine.name, last});
  setTimeout(() => {
    void upstream.beat(last).then(status => {
      fleet.record('heartbeat arrived', {machine: machine.name, status});
    });
  }, LATE_MS);
  const acknowledgedAt = await leave(machine);
  await sleep(SERVES_ON_MS);
  upstream.stop();
  fleet.record('upstream exits', {machine: machine.name});
  await sleep(1500);
  stopLoad();
  const ends = await Promise.all(outcomes);
  for (const each of clients) each.close();
  return judge(ends, machine, acknowledgedAt);
});

/** Stops the daemon alone; the platform starts it again. */
async function restart(machine) {
  const {daemon} = machine;
  fleet.record('SIGTERM', {machine: machine.name});
  daemon.kill('SIGTERM');
  const kill = setTimeout(() => daemon.kill('SIGKILL'), BOUNDS.grace_s * 1000);
  // Heartbeats fail meanwhile.
  machine.upstream.stopBeats();
  while (machine.daemon === daemon) await sleep(20);
  clearTimeout(kill);
}

/** Announces the shutdown until it is acknowledged. */
async function leave({name, upstream}) {
  for (;;) {
    const status = await upstream.leave();
    if (status === 200) {
      fleet.record('shutdown acknowledged', {machine: name});
      return fleet.now();
    }
    await sleep(100);
  }
}

/**
 * The rule: a request reaches an upstream later than `drain_s` after a machine
 * acknowledged that it is gone, taken from the client and sent on by machines
 * in touch.
 */
function judge(ends, machine, acknowledgedAt) {
  const inTouchAt = machine.upSince + BOUNDS.contact_s;
  const since = Math.max(acknowledgedAt + BOUNDS.drain_s, inTouchAt);
  const sentAt = new Map(ends.map(each => [each.attempt, each.sentAt]));
  const breaches = fleet.events
    .filter(({what}) => what === 'arrived')
    .filter(each => each.machine === machine.name && each.at > since)
    .filter(({attempt}) => sentAt.get(attempt) > inTouchAt)
    .map(({attempt, at}) => ({attempt, at}));
  const served = ends.filter(each => each.status === 200).length;
  const notes = {sent: ends.length, served, acknowledgedAt, since};
  return {breaches, allowed: 0, rule: 'DRAIN', notes};
}
