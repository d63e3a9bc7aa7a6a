/** @fileoverview Templates of workspaces and their parameters. */

import type {ValidationFault} from '../validation/types.js';

/** What a parameter may hold. */
export type ParameterKind =
  'string' | 'integer' | 'number' | 'boolean' | 'strings';

/** A value of a parameter. */
export type ParameterValue = string | number | boolean | readonly string[];

/** A declared parameter of a template. */
export interface Parameter {
  readonly type: ParameterKind;
  /** One sentence for operators. */
  readonly description: string;
  /** Used when no value is given; without it a value is required. */
  readonly default?: ParameterValue | undefined;
}

/** A shared template: declared parameters and a document that uses them. */
export interface Template {
  readonly parameters: Readonly<Record<string, Parameter>>;
  /** JSON value in which `${name}` stands for a parameter. */
  readonly document: unknown;
}

/** The result of filling in a template. */
export type Expansion =
  /** `document` is a JSON value; it is yet to be checked as a workspace. */
  | {readonly kind: 'ok'; readonly document: unknown}
  | {readonly kind: 'invalid'; readonly faults: readonly ValidationFault[]};
