/** @fileoverview Rendering of templates for people. */

import type {Parameter, Template} from '@jackdawfall/core';

import {renderTable} from '../output/view.js';

/**
 * Renders the parameters of a template.
 *
 * @param template - The template.
 * @returns A table, one parameter a line.
 */
export function describeTemplate(template: Template): string {
  const rows = Object.entries(template.parameters).map(([name, parameter]) => [
    name,
    parameter.type,
    defaultOf(parameter),
    parameter.description,
  ]);
  return renderTable(['PARAMETER', 'TYPE', 'DEFAULT', 'MEANING'], rows);
}

function defaultOf({default: value}: Parameter): string {
  return value === undefined ? 'required' : JSON.stringify(value);
}
