/**
 * Stand-in for the platform's metadata store: tables of rows, the feed and raw
 * objects, in memory. It writes as the operator through `operatorPut`.
 */
import http from 'node:http';

const MAX_ROWS = 500;

export class Store {
  rows = new Map();
  blobs = new Map();
  history = [];
  version = 0;
  /** Answers with 503 while true. */
  busy = false;
  /** Delay before each answer, in milliseconds. */
  delayMs = 4;
  /** Value of the header Store-Era, or null to send none. */
  era = null;
  waiting = new Set();

  listen(port, ip) {
    this.server = http.createServer((req, res) => void this.serve(req, res));
    this.server.keepAliveTimeout = 60_000;
    return new Promise(resolve => this.server.listen(port, ip, resolve));
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a row as the operator does. Returns its version. */
  operatorPut(table, key, value) {
    this.version += 1;
    this.put(
      table,
      '',
      key,
      Buffer.from(JSON.stringify(value)).toString('base64'),
    );
    this.wake();
    return this.version;
  }

  operatorRemove(table, key) {
    this.version += 1;
    this.remove(table, '', key);
    this.wake();
  }

  put(table, part, key, value) {
    const row = {table, part, key, value, row_version: this.version};
    this.rows.set(`${table}\0${part}\0${key}`, row);
    this.history.push(row);
  }

  remove(table, part, key) {
    this.rows.delete(`${table}\0${part}\0${key}`);
    this.history.push({
      table,
      part,
      key,
      row_version: this.version,
      removed: true,
    });
  }

  wake() {
    for (const wake of [...this.waiting]) wake();
  }

  async serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    if (this.delayMs > 0) await new Promise(r => setTimeout(r, this.delayMs));
    if (this.busy) return this.reply(res, 503, {error: 'busy'});
    const url = new URL(req.url, 'http://store');
    const path = url.pathname.replace('/jackdawfall/', '');
    const q = Object.fromEntries(url.searchParams);
    if (path === 'rows-tx')
      return this.transact(res, JSON.parse(body.toString()));
    if (path === 'rows-get') return this.getRows(res, q);
    if (path === 'rows-feed') return this.feed(res, q);
    if (path.startsWith('blob-put/'))
      return this.putBlob(req, res, path.slice(9), body);
    if (path.startsWith('blob-get/')) {
      const blob = this.blobs.get(path.slice(9));
      if (!blob) return this.reply(res, 404, {});
      res.writeHead(200, this.headers('application/octet-stream'));
      return res.end(blob);
    }
    if (path.startsWith('blob-drop/')) {
      this.blobs.delete(path.slice(10));
      return this.reply(res, 200, {});
    }
    return this.reply(res, 404, {});
  }

  headers(type) {
    const headers = {'content-type': type};
    if (this.era !== null) headers['store-era'] = String(this.era);
    return headers;
  }

  reply(res, status, value) {
    if (res.destroyed) return;
    const text = JSON.stringify({...value, now_s: performance.now() / 1000});
    res.writeHead(status, {
      ...this.headers('application/json'),
      'content-length': Buffer.byteLength(text),
    });
    res.end(text);
  }

  transact(res, {precondition = [], puts = [], remove = []}) {
    const find = r => this.rows.get(`${r.table}\0${r.part ?? ''}\0${r.key}`);
    const wrong = precondition.filter(
      each => (find(each)?.row_version ?? 0) !== each.row_version,
    );
    if (wrong.length > 0) {
      const rows = precondition.map(
        each =>
          find(each) ?? {
            table: each.table,
            part: each.part ?? '',
            key: each.key,
            row_version: 0,
          },
      );
      return this.reply(res, 412, {rows, row_version: this.version});
    }
    if (
      [...puts, ...remove].some(each => ['op', 'servers'].includes(each.table))
    ) {
      return this.reply(res, 403, {});
    }
    this.version += 1;
    for (const each of puts)
      this.put(each.table, each.part ?? '', each.key, each.value);
    for (const each of remove)
      this.remove(each.table, each.part ?? '', each.key);
    this.reply(res, 200, {row_version: this.version});
    this.wake();
  }

  getRows(res, {table, part = '', from = '', target, limit = MAX_ROWS}) {
    const found = [...this.rows.values()]
      .filter(r => r.table === table && r.part === part && r.key >= from)
      .filter(r => target === undefined || r.key < target)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const rows = found.slice(0, Math.min(MAX_ROWS, Number(limit)));
    const truncated = rows.length < found.length;
    this.reply(res, 200, {rows, truncated, row_version: this.version});
  }

  feed(res, {table, after, wait_ms: waitMs = 0}) {
    const started = performance.now();
    const attempt = () => {
      if (this.busy) return done(503, {error: 'busy'});
      const rows = this.history.filter(
        r => r.table === table && r.row_version > Number(after),
      );
      const isOver = performance.now() - started >= Number(waitMs);
      if (rows.length > 0 || isOver)
        done(200, {rows, row_version: this.version});
    };
    const done = (status, value) => {
      clearTimeout(timer);
      this.waiting.delete(attempt);
      this.reply(res, status, value);
    };
    const timer = setTimeout(attempt, Number(waitMs) + 1);
    this.waiting.add(attempt);
    attempt();
  }

  putBlob(req, res, id, body) {
    if (req.headers['if-none-match'] === '*' && this.blobs.has(id)) {
      return this.reply(res, 412, {});
    }
    this.blobs.set(id, body);
    return this.reply(res, 200, {});
  }
}
