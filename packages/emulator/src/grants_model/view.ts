/** @fileoverview Histories as text. */

import {createWorld, next} from './logic.js';
import {START_MS} from './server.js';
import type {Bounds, Finding, ServerCall, Step, World} from './types.js';

/**
 * Describes a history.
 *
 * @param finding - The history.
 * @param bounds - Bounds of the search that found it.
 * @returns One line for each step, and one for the violation.
 */
export function formatFinding(finding: Finding, bounds: Bounds): string {
  const {steps, violation} = finding;
  let world = createWorld(bounds);
  const lines = steps.map(step => {
    const before = world;
    world = next(before, step);
    return describe(before, step, world);
  });
  return [...lines, violation].join('\n');
}

/** Describes a step, and what the daemon commits and sends in it. */
function describe(before: World, step: Step, after: World): string {
  const at = String(before.now - START_MS).padStart(5);
  const detail =
    'call' in step ? ` ${step.call}` : 'ms' in step ? ` ${step.ms} ms` : '';
  const sent = after.calls
    .filter(({number}) => number >= before.nextCall)
    .map(call => `${callName(call)} at ${call.sentAt - START_MS}`);
  const kinds = after.log
    .slice(before.log.length)
    .map(
      ({text}) => (JSON.parse(text) as {change: {kind: string}}).change.kind,
    );
  return [
    `${at} ms  ${step.kind}${detail}`,
    ...(kinds.length > 0 ? [`committed: ${kinds.join(', ')}`] : []),
    ...(sent.length > 0 ? [`sent: ${sent.join(', ')}`] : []),
  ].join('; ');
}

function callName({number, grant, ttlMs}: ServerCall): string {
  const {first, count, generation} = grant;
  const last = first + count - 1;
  const slices = count === 1 ? `${first}` : `${first}..${last}`;
  return ttlMs === null
    ? `${number} = release ${slices} generation ${generation}`
    : `${number} = grant ${slices} generation ${generation} for ${ttlMs} ms`;
}
