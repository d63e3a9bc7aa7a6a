/** @fileoverview Exit codes, and reports of failures. */

import type {CommandResult, ValidationFault} from '@jackdawfall/core';
import {formatFaults} from '@jackdawfall/core';

import type {ExitName, Report} from './types.js';

/** Exit code of each way in which a command can end; there are no others. */
export const EXIT_CODES: Readonly<Record<ExitName, number>> = {
  ok: 0,
  internal: 1,
  invalid: 2,
  conflict: 3,
  unavailable: 4,
  unknown: 5,
  'not-in-force': 6,
};

/** Thrown to end a command early with a report. */
export class CommandError extends Error {
  override readonly name = 'CommandError';

  /** @param report - Report of the command. */
  constructor(readonly report: Report) {
    super(report.text);
  }
}

/**
 * Creates the report of invalid input.
 *
 * @param what - What is invalid, for example a file name.
 * @param faults - Its faults.
 * @returns The report.
 */
export function invalidReport(
  what: string,
  faults: readonly ValidationFault[],
): Report {
  return {
    exit: 'invalid',
    text: `${what} is not valid:\n${formatFaults(faults)}`,
    body: {kind: 'invalid', what, faults},
  };
}

/**
 * Creates the report of a command that failed.
 *
 * @param result - The result of a command.
 * @returns The report, with advice on what to do next.
 */
export function failureReport(
  result: Exclude<CommandResult, {kind: 'ok'}>,
): Report {
  const {kind, detail} = result;
  const body = {kind, detail};
  switch (kind) {
    case 'conflict':
      return {
        exit: 'conflict',
        text: `conflict: ${detail}\nNothing was changed. Read the status, look at the other change, then decide anew.`,
        body,
      };
    case 'rejected':
      return {
        exit: 'invalid',
        text: `rejected: ${detail}\nNothing was changed.`,
        body,
      };
    case 'unavailable':
      return {
        exit: 'unavailable',
        text: `unavailable: ${detail}\nNothing was changed. The command may be given again.`,
        body,
      };
    case 'unknown':
      return {
        exit: 'unknown',
        text: `unknown: ${detail}\nThe change may or may not take effect, also later. Look at 'jackdawfall audit' before giving it again.`,
        body,
      };
  }
}
