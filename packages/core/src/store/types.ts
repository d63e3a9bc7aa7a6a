/**
 * @fileoverview The platform's services as the system uses them: a
 * transactional table of small rows and an object store.
 */

import type {WriteId} from '../ids/types.js';

/** One row of the table. Values are JSON texts. */
export interface Row {
  readonly key: string;
  /** Rises at each write of the row; 0 stands for an absent row. */
  readonly revision: number;
  readonly value: string;
}

/** A condition of a transaction: the row stands at this revision. */
export interface RowCheck {
  readonly key: string;
  /** 0 demands that the row be absent. */
  readonly revision: number;
}

/** A write of one row; `null` deletes it. */
export interface RowPut {
  readonly key: string;
  readonly value: string | null;
}

/** A conditional write of several rows: all or none. */
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
      /** First key, included. */
      readonly from: string;
      /** First key after the range, excluded. */
      readonly to: string;
      /** Most rows to return. */
      readonly limit: number;
    };

/** A call to the platform. */
export type StoreCall =
  | {readonly kind: 'commit'; readonly transaction: Transaction}
  | {readonly kind: 'read'; readonly query: TableQuery}
  | {readonly kind: 'getObject'; readonly name: string}
  | {readonly kind: 'putObject'; readonly name: string; readonly body: string};

/** The reply to a call. */
export type StoreReply =
  /** `revision` is the new revision of every row put. */
  | {readonly kind: 'committed'; readonly revision: number}
  /** Conditions did not hold; nothing was written. */
  | {readonly kind: 'conflict'; readonly rows: readonly Row[]}
  | {readonly kind: 'rows'; readonly rows: readonly Row[]}
  | {readonly kind: 'object'; readonly body: string | null}
  | {readonly kind: 'stored'}
  /** The platform refused before doing anything (rate limit, outage). */
  | {readonly kind: 'refused'; readonly detail: string}
  /** No reply: a write may or may not take effect, now or later. */
  | {readonly kind: 'unknown'; readonly detail: string};
