/** @fileoverview What a command of the client ends with. */

/** Every way a command can end. */
export type ExitName =
  | 'ok'
  | 'internal'
  | 'invalid'
  | 'conflict'
  | 'unavailable'
  | 'unknown'
  | 'not-in-force';

/** The end of a command. */
export interface Report {
  readonly exit: ExitName;
  /** For people: a table or a few sentences. */
  readonly text: string;
  /** For programs: the same as a JSON value. */
  readonly body: unknown;
}
