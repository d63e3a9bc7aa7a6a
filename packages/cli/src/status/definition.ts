/** @fileoverview The command that shows the state of a workspace. */

import type {CommandRegistration} from '../command/types.js';
import {failureReport} from '../output/logic.js';
import {renderStatus} from './view.js';

/** Registers `status`. */
export const statusCommand: CommandRegistration = (program, command) =>
  program.command(
    'status',
    'show members, services and the version in force',
    options => options,
    command(async (_, client) => {
      const reply = await client.status();
      if (reply.kind !== 'ok') return failureReport(reply);
      const {value} = reply;
      return {exit: 'ok', text: renderStatus(value), body: value};
    }),
  );
