/** @fileoverview What a bench is and what it gives. */

/** One measured figure or a group of them; names carry the unit. */
export type Measurement =
  | number
  | string
  | boolean
  | null
  | readonly Measurement[]
  | {readonly [name: string]: Measurement};

/** The figures of one bench. */
export interface Measurements {
  readonly [name: string]: Measurement;
}

/** A bench as it registers itself. */
export interface Bench {
  readonly name: string;
  /** What it measures, in one sentence. */
  readonly text: string;
  /** Runs to its end by itself; stops early when `signal` aborts. */
  run(signal: AbortSignal): Promise<Measurements>;
}
