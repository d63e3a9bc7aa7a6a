/** @fileoverview Which changes of a workspace are allowed. */

import type {ValidationFault} from '../validation/types.js';
import type {Division, Workspace} from './types.js';

/**
 * Finds what a change must not touch: the workspace's name, and of a service
 * that stays its kind of division and its number of slices.
 *
 * @param before - The workspace in force.
 * @param after - The workspace that is to follow it.
 * @returns The faults of the change by place in `after`; none if allowed.
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
    const old = before.services.find(({name}) => name === service.name);
    if (!old) return;
    const path = `services.${index}.division`;
    faults.push(...checkDivision(old.division, service.division, path));
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
