/** @fileoverview How commands are added to the program. */

import type {Argv} from 'yargs';

import type {Client} from '../client/types.js';
import type {Report} from '../output/types.js';

/** Options that every command has. */
export interface CommonOptions {
  readonly daemon: string[];
  readonly json: boolean;
  readonly timeout: number;
  readonly by: string;
}

/** Executes a command with its options; returns its report. */
export type CommandAction<Options> = (
  options: Options & CommonOptions,
  client: Client,
) => Promise<Report>;

/** Turns an action into a yargs command handler. */
export type WrapAction = <Options>(
  action: CommandAction<Options>,
) => (options: Options) => Promise<void>;

/** Adds commands to the program. */
export type CommandRegistration = (
  program: Argv<CommonOptions>,
  command: WrapAction,
) => Argv<CommonOptions>;
