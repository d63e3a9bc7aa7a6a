/** @fileoverview Results of the validation of JSON documents. */

/**
 * One error in a document. JSON output of the command line lists them as
 * `faults`.
 */
export interface ValidationFault {
  /**
   * Path in the document, for example `routes.2.service`; empty for all of it.
   */
  readonly path: string;
  /** What is wrong there, to be read after the path. */
  readonly message: string;
}

/** A valid value, or every error in it. */
export type ParseResult<T> =
  | {readonly kind: 'ok'; readonly value: T}
  | {readonly kind: 'invalid'; readonly faults: readonly ValidationFault[]};
