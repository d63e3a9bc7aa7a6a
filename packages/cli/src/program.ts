/** @fileoverview The command line: options, commands and output. */

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
import type {
  CommonOptions,
  CommandRegistration,
  WrapAction,
} from './command/types.js';
import {configCommands} from './config/definition.js';
import {mapCommand} from './map/definition.js';
import {CommandError, EXIT_CODES} from './output/logic.js';
import type {ExitName, Report} from './output/types.js';
import {statusCommand} from './status/definition.js';
import {templateCommands} from './template/definition.js';
import {workspaceCommands} from './workspace/definition.js';

const CONNECT_TIMEOUT_MS = 2000;
const DEFAULT_TIMEOUT_S = 15;
const MS_PER_S = 1000;
const HELP_WIDTH = 80;

/** Options whose values are numbers. */
const NUMBER_OPTIONS = ['timeout', 'wait', 'based-on', 'limit'] as const;
const DAEMON_ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i;

const COMMANDS: readonly CommandRegistration[] = [
  templateCommands,
  workspaceCommands,
  configCommands,
  statusCommand,
  zoneCommands,
  serverCommands,
  memberCommands,
  mapCommand,
  auditCommand,
];

/** Thrown if the command line is invalid; nothing was done. */
class UsageError extends Error {
  override readonly name = 'UsageError';
}

/** Where the program writes its output. */
export interface Output {
  /** Writes a result. */
  write(text: string): void;
  /** Writes an error. */
  writeError(text: string): void;
}

/**
 * Runs one command line.
 *
 * @param args - Arguments after the name of the program.
 * @param output - Where results and errors are written.
 * @param signal - Aborts requests in flight.
 * @returns The exit code.
 */
export async function runProgram(
  args: readonly string[],
  output: Output,
  signal: AbortSignal,
): Promise<number> {
  let exit: ExitName = 'ok';
  const wrapAction: WrapAction = action => async options => {
    const common = options as typeof options & CommonOptions;
    const client = createClient({
      daemons: common.daemon,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      timeoutMs: common.timeout * MS_PER_S,
      signal,
    });
    const report = await awaitReport(action(common, client));
    exit = report.exit;
    print(report, common.json, output);
  };
  try {
    await buildProgram(args, wrapAction).parseAsync(args, {}, (_, __, text) => {
      if (text !== '') output.write(text);
    });
  } catch (error) {
    if (!(error instanceof UsageError)) throw error;
    output.writeError(`${error.message}\nSee 'jackdawfall --help'.`);
    return EXIT_CODES.invalid;
  }
  return EXIT_CODES[exit];
}

function buildProgram(
  args: readonly string[],
  wrapAction: WrapAction,
): Argv<CommonOptions> {
  const program: Argv<CommonOptions> = yargs(args)
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
  return COMMANDS.reduce(
    (built, addCommands) => addCommands(built, wrapAction),
    program,
  )
    .check(checkOptions, true)
    .strict()
    .demandCommand(1)
    .exitProcess(false)
    .fail((message: string | null, error) => {
      throw message === null ? error : new UsageError(message);
    })
    .wrap(HELP_WIDTH);
}

function checkOptions(options: Readonly<Record<string, unknown>>): true {
  for (const name of NUMBER_OPTIONS) {
    const value = options[name];
    if (value === undefined) continue;
    if (typeof value === 'number' && value >= 0) continue;
    throw new Error(`--${name} must be a number, 0 or more`);
  }
  for (const daemon of options.daemon as readonly string[]) {
    if (DAEMON_ADDRESS.test(daemon)) continue;
    throw new Error(`--daemon must be ip:port, not ${daemon}`);
  }
  return true;
}

async function awaitReport(report: Promise<Report>): Promise<Report> {
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
  else output.writeError(report.text);
}
