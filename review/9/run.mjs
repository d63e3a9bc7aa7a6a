/**
 * Two of six machines are partitioned from the store, without a reset: those
 * that have read it last. Just then the operator moves a route to another
 * service. With TROUBLE=0 no machine is partitioned.
 */
import http from 'node:http';

import {
  Fleet,
  configOf,
  hasTrouble,
  runCase,
  send,
  sleep,
} from '../kit-2/fleet.mjs';

const EPISODES = 8;
const CUT_MS = 5500;
/** From the partition to the change of the configuration. */
const CHANGE_AFTER_MS = 100;
/** From the end of a partition to the next one; `contact_s` is 3. */
const CALM_MS = 4500;
const CONFIG_APPLY_MS = 2000;
const SEND_EVERY_MS = 50;

const machines = ['z0', 'z1', 'z2'].flatMap(zone => [
  {zone, service: 'aa', behaviour: {workMs: 20}},
  {zone, service: 'bb', behaviour: {workMs: 20}},
]);
const fleet = new Fleet(
  machines,
  new URL('record.txt', import.meta.url).pathname,
);
fleet.proxies = true;

function configuration(version, service) {
  const config = configOf([{name: 'aa'}, {name: 'bb'}], `r${version}`);
  const [route] = config.routes;
  config.routes.push({
    ...route,
    name: 'r-n',
    host: 'n.example',
    prefix: '/n/',
    kind: 'non_idempotent',
    service,
  });
  return config;
}

/** Machine whose upstream has begun a request, or null. */
function machineThatRan(id) {
  const [run] = fleet.runsOf(id);
  if (run === undefined) return null;
  const [, name] = run.server.split('-');
  return fleet.machines.find(each => each.name === name);
}

await runCase(fleet, async () => {
  await fleet.start(configuration(7, 'aa'));
  await sleep(4000);
  const sent = [];
  let going = true;
  const clients = fleet.machines.map(async machine => {
    const agent = new http.Agent({keepAlive: true});
    while (going) {
      const at = Date.now();
      const {id} = await send(fleet, machine, {
        method: 'POST',
        path: '/n/x',
        host: 'n.example',
        agent,
      });
      sent.push({id, at, machine});
      await sleep(SEND_EVERY_MS);
    }
  });
  const changes = [];
  for (let episode = 0; episode < EPISODES; episode++) {
    const [first, second] = [...fleet.machines].sort(
      (a, b) => b.storeLink.polledAt - a.storeLink.polledAt,
    );
    const cut = hasTrouble ? [first, second] : [];
    for (const machine of cut) fleet.cutFromStore(machine, true);
    await sleep(CHANGE_AFTER_MS);
    const service = episode % 2 === 0 ? 'bb' : 'aa';
    fleet.store.operatorPut(
      'op',
      'config',
      configuration(8 + episode, service),
    );
    fleet.note(
      `version r${8 + episode} is acknowledged: /n/ goes to ${service}`,
    );
    changes.push({at: Date.now(), service, cut});
    await sleep(CUT_MS - CHANGE_AFTER_MS);
    for (const machine of cut) fleet.cutFromStore(machine, false);
    await sleep(CALM_MS);
  }
  going = false;
  await Promise.all(clients);
  let broken = 0;
  changes.forEach(({at, service, cut}, index) => {
    const until = changes[index + 1]?.at ?? Infinity;
    const stale = sent
      .filter(each => each.at >= at && each.at < until)
      .filter(each => !cut.includes(each.machine))
      .filter(({id}) => {
        const ran = machineThatRan(id);
        return ran !== null && !cut.includes(ran) && ran.service !== service;
      });
    const lastMs = Math.max(0, ...stale.map(each => each.at - at));
    const late = stale.filter(each => each.at - at > CONFIG_APPLY_MS).length;
    broken += late;
    const line = `change ${index + 1}: the last request that the old service ran was sent ${lastMs} ms after the acknowledgement, ${late} were sent after ${CONFIG_APPLY_MS} ms`;
    fleet.note(line);
    console.log(line);
  });
  console.log(
    `requests sent later than config_apply_s and handled by an older version, by machines in touch: ${broken}`,
  );
  return broken > 0 ? 1 : 0;
});
