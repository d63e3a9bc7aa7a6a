/** @fileoverview The command that shows the owners of slices. */

import type {MapView} from '@jackdawfall/core';

import type {CommandRegistration} from '../command/types.js';
import {failureReport} from '../output/logic.js';
import {renderTable} from '../output/view.js';

/** Registers `map`. */
export const mapCommand: CommandRegistration = (program, command) =>
  program.command(
    'map <service>',
    'show owner and standby of each range of slices',
    options =>
      options.positional('service', {type: 'string', demandOption: true}),
    command(async ({service}, client) => {
      const reply = await client.map(service);
      if (reply.kind !== 'ok') return failureReport(reply);
      const {value} = reply;
      return {exit: 'ok', text: renderMap(value), body: value};
    }),
  );

function renderMap(map: MapView): string {
  const rows = map.runs.map(range => [
    `${range.first}-${range.first + range.count - 1}`,
    range.owner ?? 'nobody',
    range.standby ?? 'nobody',
    range.generation,
    range.moving ? 'moving' : '',
  ]);
  const table = renderTable(
    ['SLICES', 'OWNER', 'STANDBY', 'GENERATION', ''],
    rows,
  );
  return `service ${map.service} at log version ${map.version}\n${table}`;
}
