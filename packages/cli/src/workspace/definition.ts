/** @fileoverview The commands on the configuration of a workspace. */

import {WAIT_OPTION} from '../action/definition.js';
import type {CommandRegistration} from '../command/types.js';
import {CommandError, invalidReport} from '../output/logic.js';
import {checkDocument, expandFiles, readText} from '../template/logic.js';
import {applyWorkspace, readCurrentWorkspace} from './logic.js';

/** Registers `workspace apply` and `workspace show`. */
export const workspaceCommands: CommandRegistration = (program, command) =>
  program.command('workspace', 'change and show the configuration', group =>
    group
      .command(
        'apply [template] [parameters]',
        'apply a template with its parameters, or a document',
        options =>
          options
            .positional('template', {type: 'string'})
            .positional('parameters', {type: 'string'})
            .option('document', {
              type: 'string',
              describe: 'file with a whole configuration document instead',
            })
            .option('based-on', {
              type: 'number',
              describe: 'version you have read; left out, it is read now',
            })
            .option('wait', WAIT_OPTION),
        command(async (options, client) => {
          const {by, basedOn = null, wait: waitSeconds} = options;
          const workspace = await readInput(options);
          return applyWorkspace(client, {workspace, basedOn, by, waitSeconds});
        }),
      )
      .command(
        'show',
        'print the configuration in force',
        options => options,
        command(async (_, client) => {
          const workspace = await readCurrentWorkspace(client);
          const text =
            workspace === null
              ? 'no configuration was accepted yet'
              : JSON.stringify(workspace, null, 2);
          return {exit: 'ok', text, body: workspace};
        }),
      )
      .demandCommand(1),
  );

/** Reads the document, or the template with its parameters, that was given. */
async function readInput(input: {
  readonly template?: string | undefined;
  readonly parameters?: string | undefined;
  readonly document?: string | undefined;
}): ReturnType<typeof expandFiles> {
  const {template, parameters, document} = input;
  if (document !== undefined && template === undefined) {
    return checkDocument(document, await readText(document));
  }
  if (template !== undefined && parameters !== undefined && !document) {
    return expandFiles(template, parameters);
  }
  const message = 'give a template with its parameters, or --document';
  throw new CommandError(invalidReport('the command', [{path: '', message}]));
}
