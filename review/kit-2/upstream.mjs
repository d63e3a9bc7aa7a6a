/**
 * Stand-in for an upstream beside a daemon, as a process of its own. It speaks
 * PROTOCOL.md: heartbeats, requests with slots and a queue, grants and releases.
 * Its only argument is a JSON text of options. It tells its parent each run, and
 * takes changes of its behaviour from it.
 */
import http from 'node:http';
import {createHash} from 'node:crypto';

const options = JSON.parse(process.argv[2]);
const {
  id,
  service,
  address,
  control,
  zone,
  slots = 9,
  queueLimit = 36,
} = options;
const [ip, port] = address.split(':');
const born = Date.now();
const behaviour = {
  workMs: 20,
  state: 'ready',
  beats: true,
  bodyBytes: 200,
  early: null,
  headWithoutLength: false,
  // Share of the answers in which one byte of the head is wrong.
  spoilt: 0,
  ...options.behaviour,
};
const sharded = options.sharded === true;
/** Ranges of keys that are held. */
let holds = [];
/** Highest fence seen for each key. */
const fences = new Int32Array(65536);
let running = 0;
const queue = [];
let sequence = 0;

const tell = message =>
  process.send?.({...message, server: id, at: Date.now()});
process.on('message', change => Object.assign(behaviour, change));
process.on('disconnect', () => process.exit());

function holdOf(key) {
  const now = performance.now();
  return holds.find(h => h.from <= key && key <= h.target && h.until > now);
}

function grant(body, res, arrivedAt) {
  const {from, target, fence, hold_s: holdS} = body;
  for (let key = from; key <= target; key++) {
    if (fences[key] > fence) return reply(res, 409, {});
  }
  fences.fill(fence, from, target + 1);
  cut(from, target);
  holds.push({from, target, fence, until: arrivedAt + holdS * 1000});
  tell({t: 'grant', from, target, fence, holdS});
  return reply(res, 200, {});
}

function cut(from, target) {
  holds = holds.flatMap(h => {
    const rest = [];
    if (h.from < from) rest.push({...h, target: Math.min(h.target, from - 1)});
    if (h.target > target)
      rest.push({...h, from: Math.max(h.from, target + 1)});
    return rest;
  });
}

function release({from, target}, res) {
  cut(from, target);
  tell({t: 'release', from, target});
  const done = () => {
    if (
      active.some(
        run => run.key !== null && run.key >= from && run.key <= target,
      )
    ) {
      setTimeout(done, 5);
      return;
    }
    reply(
      res,
      200,
      {},
      {
        handover: createHash('md5')
          .update(`${from}`)
          .digest('hex')
          .slice(0, 16),
      },
    );
  };
  done();
}

const active = [];

function reply(res, status, value, headers = {}) {
  const text = JSON.stringify(value);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
}

function refuse(req, res, status, why) {
  const headers = {'not-executed': '1', 'content-length': 0, 'instance-id': id};
  if (req.headers['attempt-id'])
    headers['attempt-id'] = req.headers['attempt-id'];
  tell({t: 'refused', id: req.headers['attempt-id'], status, why});
  res.writeHead(status, headers).end();
}

async function serve(req, res) {
  const arrivedAt = performance.now();
  if (req.url === '/health') {
    const ok = behaviour.state === 'ready';
    res
      .writeHead(ok ? 200 : 503, {
        'instance-id': id,
        'server-load': `${running},${queue.length},${slots}`,
        'content-length': 0,
      })
      .end();
    return;
  }
  if (req.url.startsWith('/jackdawfall/')) {
    const body = JSON.parse(await textOf(req));
    if (req.url.endsWith('/grant')) return grant(body, res, arrivedAt);
    return release(body, res);
  }
  const attempt = req.headers['attempt-id'];
  if (!attempt) return refuse(req, res, 400, 'no id');
  const expected = req.headers['expected-instance'];
  if (expected !== undefined && expected !== id)
    return refuse(req, res, 421, 'instance');
  const key =
    req.headers['shard-key'] === undefined
      ? null
      : Number(req.headers['shard-key']);
  if (sharded && (key === null || !holdOf(key)))
    return refuse(req, res, 421, 'key');
  if (
    behaviour.early !== null &&
    Number(req.headers['content-length'] ?? 1e9) > behaviour.early.above
  ) {
    return answerEarly(req, res, attempt);
  }
  if (req.url.includes('/raw/')) return answerRaw(req, res, attempt);
  const run = {req, res, attempt, key, ended: false};
  res.once('close', () => drop(run));
  if (running >= slots && queue.length >= queueLimit)
    return refuse(req, res, 503, 'full');
  const body = await textOf(req);
  run.body = body;
  if (running >= slots) queue.push(run);
  else begin(run);
}

/** Writes the bytes that the path holds, then closes or resets if it says so. */
async function answerRaw(req, res, attempt) {
  const body = await textOf(req);
  tell({
    t: 'begin',
    id: attempt,
    method: req.method,
    path: req.url,
    bytes: body.length,
    raw: req.rawHeaders,
  });
  const [, end, encoded] = /\/raw\/([a-z]+)\/([A-Za-z0-9_-]+)/.exec(req.url);
  const text = Buffer.from(encoded, 'base64url').toString('latin1');
  const bytes = text
    .replaceAll('{id}', attempt)
    .replaceAll('{stamp}', stamp(attempt));
  res.socket.write(Buffer.from(bytes, 'latin1'));
  if (end === 'close') res.socket.end();
  if (end === 'reset') setTimeout(() => res.socket.resetAndDestroy(), 30);
}

/** Answers before the body is in, keeps the connection and reads on. */
function answerEarly(req, res, attempt) {
  tell({
    t: 'begin',
    id: attempt,
    method: req.method,
    path: req.url,
    early: true,
  });
  const {status, body = 'early'} = behaviour.early;
  const done = () => tell({t: 'body', id: attempt, ended: req.complete});
  req.on('end', done);
  req.on('close', done);
  req.resume();
  res.writeHead(status, {
    'attempt-id': attempt,
    'server-stamp': stamp(attempt),
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}

function begin(run) {
  running += 1;
  active.push(run);
  run.begun = true;
  const {req, attempt, key, body} = run;
  tell({
    t: 'begin',
    id: attempt,
    method: req.method,
    path: req.url,
    key,
    bytes: body.length,
    caller: req.headers['caller-service'],
    deadline: Number(req.headers['deadline-ms']),
  });
  run.timer = setTimeout(() => finish(run), behaviour.workMs);
}

function finish(run) {
  if (run.ended) return;
  end(run);
  const {res, attempt, req} = run;
  const text = behaviour.echo
    ? Buffer.from(run.body, 'latin1')
    : 'x'.repeat(behaviour.bodyBytes);
  const headers = {
    'attempt-id': attempt,
    'server-stamp': stamp(attempt),
    'server-load': `${running},${queue.length},${slots}`,
  };
  if (Math.random() < behaviour.spoilt) {
    headers['server-stbmp'] = headers['server-stamp'];
    delete headers['server-stamp'];
    tell({t: 'spoilt', id: attempt});
  }
  tell({t: 'end', id: attempt});
  if (req.method === 'HEAD' && behaviour.headWithoutLength) {
    res.writeHead(200, headers).end();
    return;
  }
  res.writeHead(200, {...headers, 'content-length': text.length});
  res.end(text);
}

function drop(run) {
  const at = queue.indexOf(run);
  if (at >= 0) queue.splice(at, 1);
  if (!run.begun || run.ended) return;
  tell({t: 'dropped', id: run.attempt});
  end(run);
}

function end(run) {
  run.ended = true;
  clearTimeout(run.timer);
  running -= 1;
  active.splice(active.indexOf(run), 1);
  const next = queue.shift();
  if (next !== undefined) begin(next);
}

function stamp(attempt) {
  return createHash('md5').update(`stamp ${attempt}`).digest('hex');
}

async function textOf(stream) {
  const chunks = [];
  try {
    for await (const chunk of stream) chunks.push(chunk);
  } catch {
    // The connection was closed.
  }
  return Buffer.concat(chunks).toString('latin1');
}

const server = http.createServer((req, res) => {
  serve(req, res).catch(error => tell({t: 'fault', detail: String(error)}));
});
server.keepAliveTimeout = options.idleMs ?? 10_000;
server.requestTimeout = 0;
server.listen(Number(port), ip, () => tell({t: 'up'}));

function beat() {
  if (!behaviour.beats) return;
  sequence += 1;
  const body = JSON.stringify({
    service,
    address,
    zone,
    version: 'v1',
    slots,
    state: behaviour.state,
    cold_remaining_s: 0,
    sequence,
    born,
  });
  const [host, beatPort] = control.split(':');
  const req = http.request(
    {
      host,
      port: Number(beatPort),
      method: 'PUT',
      path: `/jackdawfall/instances/${id}`,
      headers: {
        'content-type': 'application/json',
        'content-length': body.length,
      },
      timeout: 1000,
      agent: false,
    },
    res => {
      res.resume();
      tell({t: 'beat', state: behaviour.state, status: res.statusCode});
    },
  );
  req.on('error', () => undefined);
  req.on('timeout', () => req.destroy());
  req.end(body);
}

beat();
setInterval(beat, options.beatMs ?? 870);
