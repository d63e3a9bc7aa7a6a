/** @fileoverview How a command registers with the program. */

import type {Argv} from 'yargs';

import type {Client} from '../client/types.js';
import type {Report} from '../output/types.js';

/** Options that every command takes. */
export interface Common {
  readonly daemon: string[];
  readonly json: boolean;
  readonly timeout: number;
  readonly by: string;
}

/** What a command does: from its arguments to its report. */
export type Action<Options> = (
  options: Options & Common,
  client: Client,
) => Promise<Report>;

/** Turns an action into a handler of the command line library. */
export type Wrap = <Options>(
  action: Action<Options>,
) => (options: Options) => Promise<void>;

/** Adds commands to the program. */
export type Registration = (
  program: Argv<Common>,
  command: Wrap,
) => Argv<Common>;
