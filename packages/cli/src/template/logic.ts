/** @fileoverview Reading templates and parameters into a checked workspace. */

import {readFile} from 'node:fs/promises';

import type {Template, Workspace} from '@jackdawfall/core';
import {expandTemplate, parseTemplate, parseWorkspace} from '@jackdawfall/core';

import {CommandError, invalidReport} from '../output/logic.js';

/**
 * Reads a file given on the command line.
 *
 * @param file - Path of the file.
 * @returns The text of the file.
 * @throws CommandError if it can't be read.
 */
export async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (error) {
    throw invalid(file, `can't be read: ${(error as Error).message}`);
  }
}

/**
 * Reads a template file.
 *
 * @param file - Path of the file.
 * @returns The checked template.
 * @throws CommandError if it can't be read or used.
 */
export async function readTemplate(file: string): Promise<Template> {
  const read = parseTemplate(await readText(file));
  if (read.kind === 'ok') return read.value;
  throw new CommandError(invalidReport(file, read.faults));
}

/**
 * Expands a template file with a parameter file.
 *
 * @param template - Path of the template.
 * @param parameters - Path of the parameters.
 * @returns The checked workspace.
 * @throws CommandError that names the invalid file and each fault.
 */
export async function expandFiles(
  template: string,
  parameters: string,
): Promise<Workspace> {
  const read = await readTemplate(template);
  const values = parseJson(parameters, await readText(parameters));
  const expansion = expandTemplate(read, values);
  if (expansion.kind === 'invalid') {
    throw new CommandError(invalidReport(parameters, expansion.faults));
  }
  const what = `the document of ${template} with ${parameters}`;
  return checkDocument(what, JSON.stringify(expansion.document));
}

/**
 * Checks a configuration document.
 *
 * @param what - Where it comes from, for the report.
 * @param text - Its JSON text.
 * @returns The workspace.
 * @throws CommandError that names each fault.
 */
export function checkDocument(what: string, text: string): Workspace {
  const parsed = parseWorkspace(text);
  if (parsed.kind === 'ok') return parsed.workspace;
  throw new CommandError(invalidReport(what, parsed.faults));
}

function parseJson(file: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw invalid(file, `is no JSON: ${(error as Error).message}`);
  }
}

function invalid(what: string, message: string): CommandError {
  return new CommandError(invalidReport(what, [{path: '', message}]));
}
