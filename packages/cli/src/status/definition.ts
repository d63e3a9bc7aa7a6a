/** @fileoverview The command that shows the state of a workspace. */

import type {Registration} from '../command/types.js';
import {failureReport} from '../output/logic.js';
import {describeStatus} from './view.js';

/** Registers `status`. */
export const statusCommand: Registration = (program, command) =>
  program.command(
    'status',
    'show members, services and the version in force',
    options => options,
    command(async (_, client) => {
      const reply = await client.status();
      if (reply.kind !== 'ok') return failureReport(reply);
      const {value} = reply;
      return {exit: 'ok', text: describeStatus(value), body: value};
    }),
  );
