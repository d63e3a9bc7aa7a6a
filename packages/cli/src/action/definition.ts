/** @fileoverview The commands on availability zones, servers and members. */

import type {MemberId} from '@jackdawfall/core';

import type {CommandRegistration} from '../command/types.js';
import {executeChange} from './logic.js';

/** The option `--wait`, for every command that has it. */
export const WAIT_OPTION = {
  type: 'number',
  default: 0,
  describe: 'seconds to wait until in force at every member; 0 for none',
} as const;

/** Registers `zone out` and `zone in`. */
export const zoneCommands: CommandRegistration = (program, command) =>
  program.command(
    'zone <direction> <zone>',
    'take an availability zone out, or back in',
    options =>
      options
        .positional('direction', {
          choices: ['out', 'in'] as const,
          demandOption: true,
        })
        .positional('zone', {type: 'string', demandOption: true})
        .option('wait', WAIT_OPTION),
    command(({direction, zone, by, wait}, client) =>
      executeChange(
        client,
        {kind: 'zone', zone, out: direction === 'out', by},
        `availability zone ${zone} is ${direction}`,
        wait,
      ),
    ),
  );

/** Registers `server stop`. */
export const serverCommands: CommandRegistration = (program, command) =>
  program.command('server', 'actions on backend servers', group =>
    group
      .command(
        'stop <host>',
        'move all work away from the backend server on a host',
        options =>
          options
            .positional('host', {type: 'string', demandOption: true})
            .option('wait', WAIT_OPTION),
        command(({host, by, wait}, client) =>
          executeChange(
            client,
            {kind: 'stopServer', host, by},
            `the backend server on ${host} takes no new work`,
            wait,
          ),
        ),
      )
      .demandCommand(1),
  );

/** Registers `member end`. */
export const memberCommands: CommandRegistration = (program, command) =>
  program.command('member', 'actions on members', group =>
    group
      .command(
        'end <member>',
        'end a member that its grantors can no longer end',
        options =>
          options
            .positional('member', {type: 'string', demandOption: true})
            .option('confirmed-stopped', {
              type: 'boolean',
              demandOption: true,
              describe:
                'you have made sure that the daemon and its backend server no longer run; if one does, a key may have two owners',
            })
            .option('wait', WAIT_OPTION)
            .check(({confirmedStopped}) => {
              if (confirmedStopped === true) return true;
              throw new Error('the member must be confirmed as stopped');
            }),
        command(({member, by, wait}, client) =>
          executeChange(
            client,
            {kind: 'endMember', member: member as MemberId, by},
            `member ${member} is ended`,
            wait,
          ),
        ),
      )
      .demandCommand(1),
  );
