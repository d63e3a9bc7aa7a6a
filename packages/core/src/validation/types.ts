/** @fileoverview Faults of a JSON document, each with its place. */

/** A fault of a document. */
export interface ValidationFault {
  /** Place in the document, for example `routes.2.service`. */
  readonly path: string;
  /** What is wrong there, in one sentence. */
  readonly message: string;
}

/** A document that was read, or everything that is wrong with it. */
export type ParseResult<T> =
  | {readonly kind: 'ok'; readonly value: T}
  | {readonly kind: 'invalid'; readonly faults: readonly ValidationFault[]};
