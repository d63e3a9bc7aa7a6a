/**
 * Clients of several kinds on random connections, while daemons and upstreams
 * are frozen, killed, stopped and replaced at random. Compares each answer with
 * its request. The first argument is the seed; ONLY names the only disruption.
 */
import net from 'node:net';
import {Fleet, configOf, newId, runCase, sleep} from '../kit-2/fleet.mjs';
let seed = Number(process.argv[2] ?? 1);
const rnd = () => {
  seed = (seed * 1103515245 + 12345) % 2147483648;
  return seed / 2147483648;
};
const pick = a => a[Math.floor(rnd() * a.length)];
const machines = ['z0', 'z1', 'z2'].flatMap(zone => [
  {
    zone,
    service: 'aa',
    sharded: true,
    behaviour: {workMs: 60, bodyBytes: 3000},
  },
  {
    zone,
    service: 'bb',
    behaviour: {workMs: 250, bodyBytes: 20000, echo: false},
  },
]);
const fleet = new Fleet(machines, process.env.RECORD ?? '/dev/null');
const sent = new Map(); // id -> {kind}
const bad = [];
const stats = {};
const count = k => (stats[k] = (stats[k] ?? 0) + 1);
class Conn {
  constructor(machine) {
    this.buf = Buffer.alloc(0);
    this.queue = [];
    this.closed = false;
    this.socket = net.connect(fleet.outbound, machine.ip);
    this.socket.on('error', () => {});
    this.socket.on('close', () => {
      this.closed = true;
      for (const q of this.queue) {
        q.status = q.status ?? 0;
        if (!this.left) {
          q.lost = Date.now();
          q.type = this.type;
          q.first = q === this.queue[0];
        }
        count(`closed ${q.kind}`);
      }
    });
    this.socket.on('data', b => {
      this.buf = Buffer.concat([this.buf, b]);
      this.parse();
    });
  }
  parse() {
    for (;;) {
      const at = this.buf.indexOf('\r\n\r\n');
      if (at < 0) return;
      const head = this.buf.toString('latin1', 0, at);
      const status = Number(head.slice(9, 12));
      if (status === 100) {
        this.buf = this.buf.subarray(at + 4);
        continue;
      }
      let length = /content-length: (\d+)/i.exec(head)?.[1];
      let body, end;
      if (length === undefined && /transfer-encoding: chunked/i.test(head)) {
        let p = at + 4;
        const parts = [];
        let done = false;
        while (!done) {
          const nl = this.buf.indexOf('\r\n', p);
          if (nl < 0) return;
          const size = parseInt(this.buf.toString('latin1', p, nl), 16);
          if (Number.isNaN(size)) {
            bad.push(`bad chunk ${head.slice(0, 200)}`);
            this.socket.destroy();
            return;
          }
          if (this.buf.length < nl + 2 + size + 2) return;
          parts.push(this.buf.subarray(nl + 2, nl + 2 + size));
          p = nl + 2 + size + 2;
          if (size === 0) done = true;
        }
        body = Buffer.concat(parts);
        end = p;
      } else if (length !== undefined) {
        if (this.buf.length < at + 4 + Number(length)) return;
        body = this.buf.subarray(at + 4, at + 4 + Number(length));
        end = at + 4 + Number(length);
      } else if (status === 408) {
        const q = this.queue.shift();
        if (q) {
          q.status = 408;
          q.head = head;
          count(`${q.kind} 408`);
        }
        this.socket.destroy();
        return;
      } else {
        bad.push(`no length ${head}`);
        this.socket.destroy();
        return;
      }
      this.buf = this.buf.subarray(end);
      const q = this.queue.shift();
      if (!q) {
        bad.push(`MIXED answer without request: ${head.slice(0, 100)}`);
        return;
      }
      q.status = status;
      q.head = head;
      count(`${q.kind} ${status}`);
      const id = /attempt-id: (\S+)/i.exec(head)?.[1];
      const stamped = /server-stamp/i.test(head);
      if (
        status < 300 &&
        (id !== q.id ||
          !stamped ||
          body.length !== q.expect ||
          body.some(x => x !== 120))
      )
        bad.push(
          `MIXED ${q.id} got ${status} id ${id} stamped ${stamped} len ${body.length}`,
        );
      if (stamped && id !== q.id) bad.push(`MIXED foreign ${q.id} ${id}`);
    }
  }
  request(kind, {split = 0, bodyBytes = 9} = {}) {
    const id = newId();
    const q = {
      id,
      kind,
      expect: kind === 'post' || kind === 'get' ? 20000 : 3000,
      at: Date.now(),
    };
    sent.set(id, q);
    this.queue.push(q);
    const key = Math.floor(rnd() * 65536);
    const first =
      kind === 'get'
        ? 'GET /bb/x'
        : kind === 'post'
          ? 'POST /cc/x'
          : 'GET /aa/x';
    const host = kind === 'get' ? 'bb' : kind === 'post' ? 'cc' : 'aa';
    const head = `${first} HTTP/1.1\r\nHost: ${host}.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 3000\r\n${kind === 'key' ? `Shard-Key: ${key}\r\n` : ''}${kind === 'post' ? `Content-Length: ${bodyBytes}\r\n` : ''}\r\n`;
    const text = head + (kind === 'post' ? 'x'.repeat(bodyBytes) : '');
    if (!split) {
      this.socket.write(text);
      q.sentAt = Date.now();
    } else {
      const cut = 1 + Math.floor(rnd() * (text.length - 2));
      this.socket.write(text.slice(0, cut));
      return sleep(split).then(() => {
        if (!this.closed) {
          this.socket.write(text.slice(cut));
          q.sentAt = Date.now();
        }
      });
    }
    return Promise.resolve();
  }
}
const stopAt = () => Date.now() > fleet.endAt;
async function client(index) {
  while (!stopAt()) {
    const machine = pick(fleet.machines);
    if (machine.daemonEnd || machine.stopping) {
      await sleep(100);
      continue;
    }
    const conn = new Conn(machine);
    const type = pick([
      'fresh',
      'keep',
      'pipe',
      'pipe',
      'slowpipe',
      'slowpipe',
      'leave',
      'slowread',
    ]);
    conn.type = type;
    const n = type === 'fresh' ? 1 : 1 + Math.floor(rnd() * 6);
    for (let i = 0; i < n && !conn.closed; i++) {
      const kind = pick(['get', 'post', 'key', 'key']);
      if (type === 'pipe' || type === 'leave') {
        conn.request(kind);
        await sleep(rnd() * 30);
      } else if (type === 'slowpipe') {
        await conn.request(kind, {split: 100 + rnd() * 700});
      } else if (type === 'slowread') {
        conn.request(kind);
        if (i === 0) {
          conn.socket.pause();
          setTimeout(() => conn.socket.resume(), rnd() * 2500);
        }
      } else {
        conn.request(kind);
        for (let t = 0; t < 200 && conn.queue.length && !conn.closed; t++)
          await sleep(20);
      }
    }
    if (type === 'leave') {
      await sleep(rnd() * 300);
      conn.left = true;
      conn.queue = [];
      conn.socket.destroy();
      continue;
    }
    for (let t = 0; t < 250 && conn.queue.length && !conn.closed; t++)
      await sleep(20);
    if (conn.queue.length && !conn.closed) {
      for (const q of conn.queue) {
        count(`silent ${q.kind}`);
        fleet.note(
          `SILENT ${conn.type} ${q.kind} ${q.id} ${machine.name} sent ${Date.now() - q.at} ms ago`,
        );
      }
    }
    conn.left = true;
    conn.queue = [];
    conn.socket.destroy();
    await sleep(rnd() * 50);
  }
}
await runCase(fleet, async () => {
  const base = configOf([
    {name: 'aa', sharded: true, timeoutS: 3},
    {name: 'bb', timeoutS: 3},
  ]);
  base.routes.push({
    ...base.routes[1],
    name: 'r-cc',
    host: 'cc.example',
    prefix: '/cc/',
    kind: 'non_idempotent',
  });
  await fleet.start(base);
  await sleep(3000);
  fleet.endAt = Date.now() + 62_000;
  const quietAt = fleet.endAt - 24_000;
  const clients = Array.from({length: 24}, (_, i) => client(i));
  let version = 7;
  while (Date.now() < quietAt) {
    await sleep(500 + rnd() * 1500);
    const m = pick(fleet.machines);
    const what =
      process.env.ONLY ??
      pick([
        'stop',
        'stop',
        'stop',
        'kill',
        'term',
        'upkill',
        'upstop',
        'config',
        'busy',
        'evacuate',
        'kill all',
      ]);
    fleet.note(`DISRUPT ${what} ${m.name}`);
    count(`~${what}`);
    if (what === 'stop') {
      m.daemon.kill('SIGSTOP');
      const d = m.daemon;
      setTimeout(() => d.kill('SIGCONT'), 300 + rnd() * 5000);
    }
    if (what === 'kill' || what === 'term') {
      const d = m.daemon;
      if (m.daemonEnd) continue;
      d.kill(what === 'kill' ? 'SIGKILL' : 'SIGTERM');
      d.kill('SIGCONT');
      setTimeout(
        () => {
          if (!m.daemonEnd) {
            d.kill('SIGKILL');
          }
          setTimeout(() => fleet.startDaemon(m), 300);
        },
        what === 'kill' ? 200 : 6200,
      );
      await sleep(what === 'kill' ? 500 : 6600);
    }
    if (what === 'upkill') {
      const u = m.upstream;
      u.kill('SIGKILL');
      await sleep(600);
      fleet.startUpstream(m);
    }
    if (what === 'upstop') {
      const u = m.upstream;
      u.kill('SIGSTOP');
      setTimeout(() => u.kill('SIGCONT'), 300 + rnd() * 3000);
    }
    if (what === 'busy') {
      fleet.store.busy = true;
      setTimeout(() => (fleet.store.busy = false), 1000 + rnd() * 7000);
    }
    if (what === 'evacuate') {
      const key = `evacuate/${m.zone}`;
      fleet.store.operatorPut('op', key, {});
      setTimeout(() => fleet.store.operatorRemove('op', key), 6000);
    }
    if (what === 'kill all') {
      for (const each of fleet.machines) {
        if (each.daemonEnd) continue;
        each.daemon.kill('SIGKILL');
        setTimeout(() => fleet.startDaemon(each), 1000);
      }
      await sleep(1500);
    }
    if (what === 'config') {
      version += 3;
      fleet.store.operatorPut('op', 'config', {
        ...base,
        version: `r${version}`,
      });
    }
  }
  await Promise.all(clients);
  await sleep(1500);
  const runs = new Map();
  for (const e of fleet.events)
    if (e.t === 'begin') runs.set(e.id, (runs.get(e.id) ?? 0) + 1);
  for (const [id, n] of runs) {
    const q = sent.get(id);
    if (!q) {
      bad.push(`UNASKED ${id}`);
      continue;
    }
    if (q.kind === 'post' && n > 1) bad.push(`TWICE ${id} ${n}`);
    if (q.kind === 'post' && [429, 503, 408, 421].includes(q.status))
      bad.push(`REFUSED ${id} ${q.status} ${JSON.stringify(q.head)}`);
  }
  if (process.env.ONLY === 'term')
    for (const q of sent.values())
      if (q.lost && q.first && q.sentAt && q.lost - q.sentAt > 200)
        bad.push(`LATE ${q.type} ${q.kind} ${q.id} ${q.lost - q.sentAt}`);
  if (process.env.ONLY === 'term')
    for (const q of sent.values())
      if (q.lost && runs.has(q.id))
        bad.push(`LOST ${q.type} ${q.kind} ${q.id} ${q.lost - q.at}`);
  const late = [...sent.values()].filter(
    q => q.at > quietAt + 15_000 && q.at < fleet.endAt - 3000,
  );
  const share = kind => {
    const some = late.filter(q => q.kind === kind);
    const served = some.filter(q => q.status === 200).length;
    return `${kind} ${served} of ${some.length}`;
  };
  console.log(
    'served at the end:',
    ['get', 'post', 'key'].map(share).join(', '),
  );
  console.log('seed', process.argv[2], JSON.stringify(stats));
  console.log(
    'bad',
    bad.length,
    [
      ...new Set(
        bad.map(b => b.split(' ')[0] + ' ' + (/ (4|5)\d\d/.exec(b)?.[0] ?? '')),
      ),
    ].join('; '),
    bad.slice(0, 6).join('\n'),
  );
  return bad.length > 0 ? 1 : 0;
});
