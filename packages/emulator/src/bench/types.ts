/** @fileoverview Types of benches and their results. */

/** A measured value or a group of values; names contain the unit. */
export type Measurement =
  | number
  | string
  | boolean
  | null
  | readonly Measurement[]
  | {readonly [name: string]: Measurement};

/** Measured values by name, as they are printed in the JSON document. */
export interface Measurements {
  readonly [name: string]: Measurement;
}

/** A bench. */
export interface Bench {
  readonly name: string;
  /** What it measures, in one sentence. */
  readonly text: string;
  /** Runs the bench; stops early if `signal` is aborted. */
  run(signal: AbortSignal): Promise<Measurements>;
}
