/** @fileoverview The command line: options, commands and what is printed. */

import {hostname, userInfo} from 'node:os';

import yargs from 'yargs';
import type {Argv} from 'yargs';

import {
  memberCommands,
  serverCommands,
  zoneCommands,
} from './action/definition.js';
import {auditCommand} from './audit/definition.js';
import {createClient} from './client/logic.js';
import type {Common, Registration, Wrap} from './command/types.js';
import {mapCommand} from './map/definition.js';
import {CommandError, EXIT_CODES} from './output/logic.js';
import type {ExitName, Report} from './output/types.js';
import {statusCommand} from './status/definition.js';
import {templateCommands} from './template/definition.js';
import {workspaceCommands} from './workspace/definition.js';

const CONNECT_TIMEOUT_MS = 2000;
const DEFAULT_TIMEOUT_S = 15;
const MS_PER_S = 1000;
const WIDTH = 80;

/** Options that hold a number. */
const NUMBERS = ['timeout', 'wait', 'based-on', 'limit'] as const;
const DAEMON = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i;

const COMMANDS: readonly Registration[] = [
  templateCommands,
  workspaceCommands,
  statusCommand,
  zoneCommands,
  serverCommands,
  memberCommands,
  mapCommand,
  auditCommand,
];

/** The command line can't be understood; nothing was done. */
class UsageError extends Error {
  override readonly name = 'UsageError';
}

/** Where the program writes. */
export interface Output {
  /** Results. */
  write(text: string): void;
  /** What went wrong. */
  complain(text: string): void;
}

/**
 * Runs one command line.
 *
 * @param args - The arguments after the program's name.
 * @param output - Where results and complaints go.
 * @param signal - Ends whatever is under way.
 * @returns The exit code.
 */
export async function runProgram(
  args: readonly string[],
  output: Output,
  signal: AbortSignal,
): Promise<number> {
  let exit: ExitName = 'ok';
  const wrap: Wrap = action => async options => {
    const common = options as typeof options & Common;
    const client = createClient({
      daemons: common.daemon,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      timeoutMs: common.timeout * MS_PER_S,
      signal,
    });
    const report = await settle(action(common, client));
    exit = report.exit;
    print(report, common.json, output);
  };
  try {
    await describeProgram(args, wrap).parseAsync(args, {}, (_, __, text) => {
      if (text !== '') output.write(text);
    });
  } catch (error) {
    if (!(error instanceof UsageError)) throw error;
    output.complain(`${error.message}\nSee 'jackdawfall --help'.`);
    return EXIT_CODES.invalid;
  }
  return EXIT_CODES[exit];
}

function describeProgram(args: readonly string[], wrap: Wrap): Argv<Common> {
  const program: Argv<Common> = yargs(args)
    .scriptName('jackdawfall')
    .usage('$0 COMMAND\n\nOperates a workspace through any of its daemons.')
    .option('daemon', {
      type: 'string',
      array: true,
      nargs: 1,
      default: ['127.0.0.1:7201'],
      describe: 'operators port of a daemon as ip:port; may be repeated',
    })
    .option('json', {
      type: 'boolean',
      default: false,
      describe: 'print one JSON document instead of text',
    })
    .option('timeout', {
      type: 'number',
      default: DEFAULT_TIMEOUT_S,
      describe: 'seconds to wait for an answer',
    })
    .option('by', {
      type: 'string',
      default: `${userInfo().username}@${hostname()}`,
      describe: 'who asks, for the audit trail',
    });
  return COMMANDS.reduce((built, register) => register(built, wrap), program)
    .check(checkOptions, true)
    .strict()
    .demandCommand(1)
    .exitProcess(false)
    .fail((message: string | null, error) => {
      throw message === null ? error : new UsageError(message);
    })
    .wrap(WIDTH);
}

function checkOptions(options: Readonly<Record<string, unknown>>): true {
  for (const name of NUMBERS) {
    const value = options[name];
    if (value === undefined) continue;
    if (typeof value === 'number' && value >= 0) continue;
    throw new Error(`--${name} must be a number, 0 or more`);
  }
  for (const daemon of options.daemon as readonly string[]) {
    if (DAEMON.test(daemon)) continue;
    throw new Error(`--daemon must be ip:port, not ${daemon}`);
  }
  return true;
}

async function settle(report: Promise<Report>): Promise<Report> {
  try {
    return await report;
  } catch (error) {
    if (error instanceof CommandError) return error.report;
    throw error;
  }
}

function print(report: Report, json: boolean, output: Output): void {
  if (json) output.write(JSON.stringify(report.body, null, 2));
  else if (report.exit === 'ok') output.write(report.text);
  else output.complain(report.text);
}
