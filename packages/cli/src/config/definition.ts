/** @fileoverview The command that checks a configuration before it is applied. */

import type {CommandRegistration} from '../command/types.js';
import {checkDocument, readText} from '../template/logic.js';
import {readCurrentWorkspace} from '../workspace/logic.js';
import {checkConfiguration} from './logic.js';

/** Registers `config check`. */
export const configCommands: CommandRegistration = (program, command) =>
  program.command('config', 'check a configuration document', group =>
    group
      .command(
        'check <file>',
        'find errors, entries without effect and differences from the version in force',
        options =>
          options
            .positional('file', {type: 'string', demandOption: true})
            .option('offline', {
              type: 'boolean',
              default: false,
              describe: 'do not compare with the version in force',
            }),
        command(async ({file, offline}, client) => {
          const workspace = checkDocument(file, await readText(file));
          const current = offline ? null : await readCurrentWorkspace(client);
          return checkConfiguration(workspace, current);
        }),
      )
      .demandCommand(1),
  );
