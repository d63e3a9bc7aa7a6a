/** @fileoverview The command that shows the audit trail. */

import type {AuditPage} from '@jackdawfall/core';

import type {CommandRegistration} from '../command/types.js';
import {failureReport} from '../output/logic.js';
import {renderTable} from '../output/view.js';

const DEFAULT_LIMIT = 50;

/** Registers `audit`. */
export const auditCommand: CommandRegistration = (program, command) =>
  program.command(
    'audit',
    'show who changed what and when, the newest first',
    options =>
      options.option('limit', {
        type: 'number',
        default: DEFAULT_LIMIT,
        describe: 'most changes to show',
      }),
    command(async ({limit}, client) => {
      const reply = await client.audit(limit);
      if (reply.kind !== 'ok') return failureReport(reply);
      const {value} = reply;
      return {exit: 'ok', text: renderAudit(value), body: value};
    }),
  );

function renderAudit({entries, searchedFrom}: AuditPage): string {
  const rows = entries.map(entry => [
    `${entry.from} -> ${entry.to}`,
    new Date(entry.at).toISOString(),
    entry.by,
    entry.what,
  ]);
  const table = renderTable(['LOG VERSION', 'TIME', 'BY', 'WHAT'], rows);
  if (searchedFrom <= 1) return table;
  return `${table}\nearlier changes than log version ${searchedFrom} are not shown`;
}
