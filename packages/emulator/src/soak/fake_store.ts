/** @fileoverview Fake of the platform's store: a transactional table and objects. */

import {MAX_TRANSACTION_ENTRIES} from '@jackdawfall/core';
import type {
  Row,
  StoreCall,
  StoreReply,
  TableQuery,
  Transaction,
} from '@jackdawfall/core';

/** The rows after a transaction, with the time at which it was made. */
interface Copy {
  readonly at: number;
  readonly rows: ReadonlyMap<string, Row>;
  readonly revision: number;
}

/** Time for which copies are kept, in milliseconds. */
const MAX_COPY_AGE_MS = 10_000;

/** Rows and objects in memory. */
export class FakeStore {
  private rows = new Map<string, Row>();
  /** Copies to which the store may be restored, the oldest first. */
  private copies: Copy[] = [];
  /** Era that replies name; null if they name none and no copies are kept. */
  private era: number | null = null;
  private readonly objects = new Map<string, string>();
  private revision = 0;
  reads = 0;
  writes = 0;
  bytes = 0;

  /**
   * Executes a call immediately.
   *
   * @param call - The call.
   * @param now - Simulated time, in milliseconds.
   * @returns The reply.
   */
  execute(call: StoreCall, now = 0): StoreReply {
    const reply = this.executeCall(call);
    if (this.era === null) return reply;
    if (reply.kind === 'committed') this.keepCopy(now);
    return {...reply, era: this.era};
  }

  /** Has replies name the era, and keeps copies from now on. */
  startEras(): void {
    this.era ??= 1;
    this.keepCopy(0);
  }

  /**
   * Restores the rows to the latest copy that is old enough; revisions go back
   * with it. Objects stay.
   *
   * @param now - Simulated time, in milliseconds.
   * @param ageMs - Minimum age of the copy.
   */
  restore(now: number, ageMs: number): void {
    if (this.era === null) return;
    const copy = this.copies.findLast(({at}) => at <= now - ageMs);
    if (copy === undefined) return;
    this.era += 1;
    this.rows = new Map(copy.rows);
    this.revision = copy.revision;
    this.copies = [];
    this.keepCopy(now);
  }

  private keepCopy(at: number): void {
    const {rows, revision} = this;
    this.copies.push({at, rows: new Map(rows), revision});
    const oldest = this.copies.findLastIndex(
      copy => copy.at <= at - MAX_COPY_AGE_MS,
    );
    if (oldest > 0) this.copies.splice(0, oldest);
  }

  private executeCall(call: StoreCall): StoreReply {
    switch (call.kind) {
      case 'commit':
        this.writes += 1;
        return this.commit(call.transaction);
      case 'read':
        this.reads += 1;
        return {kind: 'rows', rows: this.read(call.query)};
      case 'getObject':
        this.reads += 1;
        return {kind: 'object', body: this.objects.get(call.name) ?? null};
      case 'putObject':
        this.writes += 1;
        this.objects.set(call.name, call.body);
        return {kind: 'stored'};
    }
  }

  /**
   * Lists the keys of rows with a prefix.
   *
   * @param prefix - The prefix.
   * @returns The keys.
   */
  keysWithPrefix(prefix: string): string[] {
    return [...this.rows.keys()].filter(key => key.startsWith(prefix));
  }

  private commit(transaction: Transaction): StoreReply {
    const entries = transaction.checks.length + transaction.puts.length;
    if (entries > MAX_TRANSACTION_ENTRIES) {
      return {kind: 'refused', detail: `${entries} entries`};
    }
    const failed = transaction.checks.filter(
      check => (this.rows.get(check.key)?.revision ?? 0) !== check.revision,
    );
    if (failed.length > 0) {
      const rows = failed.map(check => this.rows.get(check.key));
      return {kind: 'conflict', rows: rows.filter(row => row !== undefined)};
    }
    this.revision += 1;
    for (const {key, value} of transaction.puts) {
      this.bytes += value?.length ?? 0;
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, {key, revision: this.revision, value});
    }
    return {kind: 'committed', revision: this.revision};
  }

  private read(query: TableQuery): Row[] {
    if (query.kind === 'row') {
      const row = this.rows.get(query.key);
      return row === undefined ? [] : [row];
    }
    const found: Row[] = [];
    for (const row of this.rows.values()) {
      if (row.key >= query.from && row.key < query.to) found.push(row);
    }
    found.sort((a, b) => (a.key < b.key ? -1 : 1));
    return found.slice(0, query.limit);
  }
}
