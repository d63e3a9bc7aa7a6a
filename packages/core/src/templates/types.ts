/** @fileoverview Templates of workspace documents and their parameters. */

import type {ValidationFault} from '../validation/types.js';

/** Type of a parameter's value. */
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

/** A template: declared parameters and a document that refers to them. */
export interface Template {
  readonly parameters: Readonly<Record<string, Parameter>>;
  /** JSON value in which `${name}` refers to a parameter. */
  readonly document: unknown;
}

/** The result of expanding a template. */
export type Expansion =
  /** `document` is a JSON value that is not validated as a workspace yet. */
  | {readonly kind: 'ok'; readonly document: unknown}
  | {readonly kind: 'invalid'; readonly faults: readonly ValidationFault[]};
