/** @fileoverview The daemon's logger. */

import type {LogEventName} from '@jackdawfall/core';

/** Details of one log event. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** What every line says of its author. */
export interface LogContext {
  readonly workspace: string;
  readonly host: string;
  /** Member id, or empty before this daemon joined. */
  readonly member: string;
}

/** Writes one line of JSON for each event. */
export interface Logger {
  /**
   * Logs an event of the catalogue.
   *
   * @param name - Name of the event.
   * @param fields - Its details.
   */
  log(name: LogEventName, fields?: LogFields): void;
  /**
   * Changes what the following lines say of their author.
   *
   * @param change - The parts that change.
   */
  setContext(change: Partial<LogContext>): void;
}

/** Where lines go. */
export interface Sink {
  /**
   * Writes a line; never blocks.
   *
   * @param line - The line with its end.
   */
  write(line: string): void;
  /** Lines left out since the last call, since nobody read. */
  takeDroppedCount(): number;
}
