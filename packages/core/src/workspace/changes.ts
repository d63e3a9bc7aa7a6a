/** @fileoverview Checks which changes of a workspace are allowed. */

import type {ValidationFault} from '../validation/types.js';
import type {Division, Workspace} from './types.js';

/**
 * Checks that a change keeps the workspace's name and, for each service that
 * exists before and after it, the kind of division and the number of slices.
 *
 * @param before - The current workspace.
 * @param after - The workspace that replaces it.
 * @returns One fault for each place in `after`; none if the change is allowed.
 */
export function checkWorkspaceChange(
  before: Workspace,
  after: Workspace,
): readonly ValidationFault[] {
  const faults: ValidationFault[] = [];
  if (before.name !== after.name) {
    const message = `must stay "${before.name}"`;
    faults.push({path: 'name', message});
  }
  after.services.forEach((service, index) => {
    const previous = before.services.find(({name}) => name === service.name);
    if (!previous) return;
    const path = `services.${index}.division`;
    faults.push(...checkDivision(previous.division, service.division, path));
  });
  return faults;
}

function checkDivision(
  before: Division,
  after: Division,
  path: string,
): readonly ValidationFault[] {
  if (before.kind !== after.kind) {
    return [{path: `${path}.kind`, message: `must stay "${before.kind}"`}];
  }
  if (before.kind === 'shared' || after.kind === 'shared') return [];
  if (before.slices === after.slices) return [];
  return [{path: `${path}.slices`, message: `must stay ${before.slices}`}];
}
