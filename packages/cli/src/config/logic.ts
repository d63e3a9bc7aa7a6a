/** @fileoverview Checks a configuration before it is applied. */

import type {
  ValidationFault,
  Workspace,
  WorkspaceDifference,
  WorkspaceFinding,
} from '@jackdawfall/core';
import {
  checkWorkspaceChange,
  compareWorkspaces,
  findIneffectiveEntries,
} from '@jackdawfall/core';

import type {Report} from '../output/types.js';

/**
 * Checks a configuration.
 *
 * @param workspace - The configuration, which is valid by itself.
 * @param current - The configuration in force, or null if there is none or it
 *     isn't to be compared.
 * @returns The report; it is `invalid` if the change isn't allowed or there is
 *     an entry without effect.
 */
export function checkConfiguration(
  workspace: Workspace,
  current: Workspace | null,
): Report {
  const findings = findIneffectiveEntries(workspace);
  const faults =
    current === null ? [] : checkWorkspaceChange(current, workspace);
  const differences =
    current === null ? [] : compareWorkspaces(current, workspace);
  const isGood = findings.length === 0 && faults.length === 0;
  return {
    exit: isGood ? 'ok' : 'invalid',
    text: renderCheck({findings, faults, differences, current}),
    body: {
      kind: isGood ? 'ok' : 'invalid',
      basedOn: current?.version ?? null,
      faults,
      findings,
      differences,
    },
  };
}

function renderCheck({
  findings,
  faults,
  differences,
  current,
}: {
  readonly findings: readonly WorkspaceFinding[];
  readonly faults: readonly ValidationFault[];
  readonly differences: readonly WorkspaceDifference[];
  readonly current: Workspace | null;
}): string {
  const lines = [
    ...faults.map(({path, message}) => `not allowed    ${path}: ${message}`),
    ...findings.map(
      ({kind, path, message}) => `${kind.padEnd(13)}  ${path}: ${message}`,
    ),
    ...differences.map(renderDifference),
  ];
  const compared =
    current === null
      ? 'not compared with a configuration in force'
      : `${differences.length} differences from version ${current.version}`;
  const found = faults.length + findings.length;
  return [...lines, `${found} problems, ${compared}`].join('\n');
}

function renderDifference({path, before, after}: WorkspaceDifference): string {
  if (before === undefined) return `added          ${path}`;
  if (after === undefined) return `removed        ${path}`;
  const values = `${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
  return `changed        ${path}: ${values}`;
}
