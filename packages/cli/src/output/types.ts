/** @fileoverview Reports of commands. */

/** Ways in which a command can end. */
export type ExitName =
  | 'ok'
  | 'internal'
  | 'invalid'
  | 'conflict'
  | 'unavailable'
  | 'unknown'
  | 'not-in-force';

/** What a command prints, and how it ends. */
export interface Report {
  readonly exit: ExitName;
  /** Text for people: a table or a few sentences. */
  readonly text: string;
  /** JSON value with the same content, for `--json`. */
  readonly body: unknown;
}
