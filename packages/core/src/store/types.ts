/**
 * @fileoverview Calls to the store that the platform provides: a table of small
 * rows with conditional transactions, and an object store.
 */

import type {WriteId} from '../ids/types.js';

/** One row of the table. Values are JSON texts. */
export interface Row {
  readonly key: string;
  /** Rises with each write of the row; 0 means that the row is absent. */
  readonly revision: number;
  readonly value: string;
}

/** A condition of a transaction: the row is at this revision. */
export interface RowCheck {
  readonly key: string;
  /** 0 requires that the row is absent. */
  readonly revision: number;
}

/** A write or deletion of one row. */
export interface RowPut {
  readonly key: string;
  /** The new value; `null` deletes the row. */
  readonly value: string | null;
}

/**
 * Maximum number of conditions and writes of a transaction together. Stores
 * refuse larger ones.
 */
export const MAX_TRANSACTION_ENTRIES = 100;

/** Atomic writes of several rows, made only if all conditions hold. */
export interface Transaction {
  readonly writeId: WriteId;
  readonly checks: readonly RowCheck[];
  readonly puts: readonly RowPut[];
}

/** A read of the table. */
export type TableQuery =
  | {readonly kind: 'row'; readonly key: string}
  | {
      readonly kind: 'range';
      /** First key of the range. */
      readonly from: string;
      /** End of the range; this key is excluded. */
      readonly to: string;
      /** Maximum number of rows to return. */
      readonly limit: number;
    };

/** A call to the store. */
export type StoreCall =
  | {readonly kind: 'commit'; readonly transaction: Transaction}
  | {readonly kind: 'read'; readonly query: TableQuery}
  | {readonly kind: 'getObject'; readonly name: string}
  | {readonly kind: 'putObject'; readonly name: string; readonly body: string};

/** The store's reply to a call, with the era of the store if it sent one. */
export type StoreReply = StoreOutcome & {
  /** Counted from 1; absent without the header `Store-Era`. */
  readonly era?: number;
};

/** What came of a call to the store. */
export type StoreOutcome =
  /** `revision` is the new revision of every row that was written. */
  | {readonly kind: 'committed'; readonly revision: number}
  /** A condition did not hold, and nothing was written. */
  | {readonly kind: 'conflict'; readonly rows: readonly Row[]}
  | {readonly kind: 'rows'; readonly rows: readonly Row[]}
  | {readonly kind: 'object'; readonly body: string | null}
  | {readonly kind: 'stored'}
  /** The call was refused and has no effect (rate limit, outage). */
  | {readonly kind: 'refused'; readonly detail: string}
  /** There was no reply; a write may still take effect, even later. */
  | {readonly kind: 'unknown'; readonly detail: string};
