/** @fileoverview The commands on template files, which need no daemon. */

import type {CommandRegistration} from '../command/types.js';
import {renderTemplate} from './view.js';
import {expandFiles, readTemplate} from './logic.js';

/** Registers `template check` and `template expand`. */
export const templateCommands: CommandRegistration = (program, command) =>
  program.command('template', 'check and fill in templates', group =>
    group
      .command(
        'check <template> [parameters]',
        'check a template, and parameters for it',
        options =>
          options
            .positional('template', {type: 'string', demandOption: true})
            .positional('parameters', {type: 'string'}),
        command(async ({template, parameters}) => {
          if (parameters !== undefined) await expandFiles(template, parameters);
          const read = await readTemplate(template);
          const body = {kind: 'ok', parameters: read.parameters};
          return {exit: 'ok', text: renderTemplate(read), body};
        }),
      )
      .command(
        'expand <template> <parameters>',
        'print the configuration document of a template with its parameters',
        options =>
          options
            .positional('template', {type: 'string', demandOption: true})
            .positional('parameters', {type: 'string', demandOption: true}),
        command(async ({template, parameters}) => {
          const workspace = await expandFiles(template, parameters);
          const text = JSON.stringify(workspace, null, 2);
          return {exit: 'ok', text, body: workspace};
        }),
      )
      .demandCommand(1),
  );
