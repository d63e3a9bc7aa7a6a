/**
 * @fileoverview Stand-in for the platform's store: rows with conditional
 * transactions, a feed of changes and objects.
 */

import {createServer} from 'node:http';

/** Time of a transaction and of an answer, in milliseconds. */
const TRANSACTION_MS = 8;
const ANSWER_MS = 4;
const MAX_ROWS = 500;

/** Rows in memory; each change gets the next version. */
export class StoreStandIn {
  /** @param {{ip: string, port: number}} endpoint - Where it listens. */
  constructor(endpoint) {
    this.endpoint = endpoint;
    this.rows = new Map();
    this.version = 100;
    this.changes = [];
    this.objects = new Map();
    this.waiting = new Set();
    this.server = createServer((incoming, outgoing) => {
      const chunks = [];
      incoming.on('data', chunk => chunks.push(chunk));
      incoming.on('end', () => {
        setTimeout(
          () => this.handle(incoming, outgoing, Buffer.concat(chunks)),
          incoming.method === 'POST' ? TRANSACTION_MS : ANSWER_MS,
        );
      });
    });
  }

  listen() {
    const {ip, port} = this.endpoint;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row as the operator does. */
  writeAsOperator(key, value) {
    const text = value === null ? null : JSON.stringify(value);
    this.version += 1;
    this.apply(
      {table: 'op', part: '', key},
      text === null ? null : toBase64(text),
    );
    this.wake();
    return this.version;
  }

  apply({table, part = '', key}, value) {
    const id = JSON.stringify([table, part, key]);
    const row = {table, part, key, row_version: this.version};
    if (value === null) {
      this.rows.delete(id);
      this.changes.push({...row, removed: true});
    } else {
      this.rows.set(id, {...row, value});
      this.changes.push({...row, value});
    }
  }

  handle(incoming, outgoing, body) {
    const url = new URL(incoming.url, 'http://store');
    const call = url.pathname.replace('/jackdawfall/', '');
    if (call === 'rows-tx') {
      this.transact(outgoing, JSON.parse(body.toString('utf8')));
    } else if (call === 'rows-get') this.read(outgoing, url.searchParams);
    else if (call === 'rows-feed') this.feed(outgoing, url.searchParams);
    else this.handleObject(incoming.method, call, outgoing, body);
  }

  transact(outgoing, {precondition = [], puts = [], remove = []}) {
    const current = precondition.map(each => this.find(each));
    const holds = precondition.every(
      (each, at) => each.row_version === current[at].row_version,
    );
    if (!holds) {
      this.reply(outgoing, 412, {rows: current});
      return;
    }
    this.version += 1;
    for (const put of puts) this.apply(put, put.value);
    for (const each of remove) this.apply(each, null);
    this.reply(outgoing, 200, {});
    this.wake();
  }

  find({table, part = '', key}) {
    const known = this.rows.get(JSON.stringify([table, part, key]));
    return known ?? {table, part, key, row_version: 0};
  }

  read(outgoing, query) {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const target = query.get('target');
    const limit = Math.min(Number(query.get('limit') ?? MAX_ROWS), MAX_ROWS);
    const found = [...this.rows.values()]
      .filter(row => row.table === table && row.part === part)
      .filter(row => row.key >= from && (target === null || row.key < target))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const truncated = found.length > limit;
    this.reply(outgoing, 200, {rows: found.slice(0, limit), truncated});
  }

  feed(outgoing, query) {
    const waiting = {
      table: query.get('table'),
      after: Number(query.get('after')),
      outgoing,
      timer: null,
    };
    if (this.answerFeed(waiting, false)) return;
    this.waiting.add(waiting);
    outgoing.once('close', () => this.dropWaiting(waiting));
    waiting.timer = setTimeout(
      () => this.answerFeed(waiting, true),
      Number(query.get('wait_ms')),
    );
  }

  answerFeed(waiting, isLate) {
    const rows = this.changes.filter(
      row => row.table === waiting.table && row.row_version > waiting.after,
    );
    if (rows.length === 0 && !isLate) return false;
    this.dropWaiting(waiting);
    this.reply(waiting.outgoing, 200, {rows});
    return true;
  }

  dropWaiting(waiting) {
    clearTimeout(waiting.timer);
    this.waiting.delete(waiting);
  }

  wake() {
    for (const waiting of [...this.waiting]) this.answerFeed(waiting, false);
  }

  handleObject(method, call, outgoing, body) {
    const [verb, id] = call.split('/');
    switch (verb) {
      case 'blob-put':
        this.objects.set(id, body);
        this.reply(outgoing, 200, {});
        return;
      case 'blob-get':
        if (!this.objects.has(id)) this.reply(outgoing, 404, {});
        else outgoing.writeHead(200).end(this.objects.get(id));
        return;
      case 'blob-drop':
        this.objects.delete(id);
        this.reply(outgoing, 200, {});
        return;
      default:
        this.reply(outgoing, 404, {});
    }
  }

  reply(outgoing, status, body) {
    if (outgoing.destroyed) return;
    const now_s = performance.now() / 1000;
    const full = {...body, row_version: this.version, now_s};
    outgoing.writeHead(status, {'content-type': 'application/json'});
    outgoing.end(JSON.stringify(full));
  }
}

function toBase64(text) {
  return Buffer.from(text).toString('base64');
}
