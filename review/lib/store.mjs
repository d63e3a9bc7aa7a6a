/**
 * @fileoverview Stand-in for the platform's store: rows with conditional
 * transactions, a feed of changes, and objects. It is linearizable and loses
 * nothing that it acknowledged.
 */

import {createServer} from 'node:http';

const MAX_ENTRIES = 100;
const MAX_ROWS = 500;
const READ_MS = 4;
const TRANSACTION_MS = 8;
/** Tables that only the operator and the platform write. */
const FOREIGN_TABLES = new Set(['op', 'servers']);

/** The store; `start` makes it listen. */
export class Store {
  rows = new Map();
  blobs = new Map();
  version = 0;
  history = [];
  waiting = new Set();
  startedMs = performance.now();

  async start(ip, port) {
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise(resolve => this.server.listen(port, ip, resolve));
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row of the operator. */
  operatorPut(key, value) {
    this.version += 1;
    this.put({table: 'op', part: '', key}, JSON.stringify(value));
    this.notify();
  }

  put({table, part = '', key}, text) {
    const value = Buffer.from(text).toString('base64');
    this.setRow({table, part, key, value});
  }

  setRow({table, part = '', key, value}) {
    const row = {table, part, key, value, row_version: this.version};
    this.rows.set(idOf(row), row);
    this.history.push(row);
  }

  removeRow({table, part = '', key}) {
    const id = idOf({table, part, key});
    if (!this.rows.delete(id)) return;
    const row_version = this.version;
    this.history.push({table, part, key, row_version, removed: true});
  }

  notify() {
    for (const wake of this.waiting) wake();
  }

  async serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    const url = new URL(request.url, 'http://store');
    const {status, json, raw} = await this.answer(request.method, url, body);
    const now_s = (performance.now() - this.startedMs) / 1000;
    const text = raw ?? JSON.stringify({...json, now_s});
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(text);
  }

  async answer(method, url, body) {
    const call = url.pathname.replace('/jackdawfall/', '');
    const query = Object.fromEntries(url.searchParams);
    if (call === 'rows-tx') {
      await sleep(TRANSACTION_MS);
      return this.transact(JSON.parse(body.toString()));
    }
    if (call === 'rows-feed') return this.feed(query);
    await sleep(READ_MS);
    if (call === 'rows-get') return this.get(query);
    const [verb, name] = call.split('/');
    return this.blob(verb, name, body);
  }

  transact({precondition = [], puts = [], remove = []}) {
    if (precondition.length + puts.length + remove.length > MAX_ENTRIES) {
      return {status: 400, json: {error: 'too many entries'}};
    }
    if ([...puts, ...remove].some(each => FOREIGN_TABLES.has(each.table))) {
      return {status: 403, json: {}};
    }
    const current = precondition.map(each => this.current(each));
    const holds = precondition.every(
      (each, at) => each.row_version === current[at].row_version,
    );
    const row_version = this.version;
    if (!holds) return {status: 412, json: {rows: current, row_version}};
    this.version += 1;
    for (const each of puts) this.setRow(each);
    for (const each of remove) this.removeRow(each);
    this.notify();
    return {status: 200, json: {row_version: this.version}};
  }

  current({table, part = '', key}) {
    const row = this.rows.get(idOf({table, part, key}));
    return row ?? {table, part, key, row_version: 0};
  }

  get({table, part = '', from = '', target, limit = MAX_ROWS}) {
    const found = [...this.rows.values()]
      .filter(row => row.table === table && row.part === part)
      .filter(row => row.key >= from && !(row.key >= (target ?? '\uffff')))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const rows = found.slice(0, Math.min(MAX_ROWS, Number(limit)));
    const truncated = rows.length < found.length;
    return {status: 200, json: {rows, truncated, row_version: this.version}};
  }

  async feed({table, after, wait_ms = 0}) {
    const until = performance.now() + Number(wait_ms);
    for (;;) {
      const rows = this.history.filter(
        row => row.table === table && row.row_version > Number(after),
      );
      const leftMs = until - performance.now();
      if (rows.length > 0 || leftMs <= 0) {
        await sleep(READ_MS);
        return {status: 200, json: {rows, row_version: this.version}};
      }
      await this.change(leftMs);
    }
  }

  change(timeoutMs) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.waiting.add(wake);
    });
  }

  blob(verb, name, body) {
    switch (verb) {
      case 'blob-put':
        this.blobs.set(name, body);
        return {status: 200, json: {}};
      case 'blob-get':
        return this.blobs.has(name)
          ? {status: 200, raw: this.blobs.get(name)}
          : {status: 404, json: {}};
      case 'blob-drop':
        this.blobs.delete(name);
        return {status: 200, json: {}};
      case 'blob-list':
        return {
          status: 200,
          json: {names: [...this.blobs.keys()].sort(), truncated: false},
        };
      default:
        return {status: 404, json: {}};
    }
  }
}

/**
 * Waits.
 *
 * @param ms - Milliseconds.
 * @returns Resolves after that time.
 */
export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function idOf({table, part, key}) {
  return `${table}\n${part}\n${key}`;
}
