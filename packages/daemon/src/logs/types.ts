/** @fileoverview The daemon's logger. */

import type {LogEventName} from '@jackdawfall/core';

/** Details of one log event, such as the member or request it is about. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Fields that identify the daemon in every line. */
export interface LogContext {
  readonly workspace: string;
  readonly host: string;
  /** Member id, or empty if it isn't known yet. */
  readonly member: string;
}

/** Writes one line of JSON for each event. */
export interface Logger {
  /**
   * Writes a log event.
   *
   * @param name - Name of the event in the catalogue.
   * @param fields - Details of the event.
   */
  log(name: LogEventName, fields?: LogFields): void;
  /**
   * Changes the context of the lines that follow.
   *
   * @param change - The fields to change.
   */
  setContext(change: Partial<LogContext>): void;
}

/** Destination of log lines. */
export interface Sink {
  /**
   * Writes a line; never blocks.
   *
   * @param line - The line with its line terminator.
   */
  write(line: string): void;
  /** Returns the number of lines dropped since the last call. */
  takeDroppedCount(): number;
}
