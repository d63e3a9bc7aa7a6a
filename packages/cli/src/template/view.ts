/** @fileoverview Rendering of templates as text. */

import type {Parameter, Template} from '@jackdawfall/core';

import {renderTable} from '../output/view.js';

/**
 * Renders the parameters of a template.
 *
 * @param template - The template.
 * @returns A table with one line for each parameter.
 */
export function renderTemplate(template: Template): string {
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
