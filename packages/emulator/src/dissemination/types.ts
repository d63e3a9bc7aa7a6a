/** @fileoverview What the calculation of dissemination works with. */

/** Lists of neighbours by node. */
export type Graph = readonly (readonly number[])[];

/** The overlay as a node knows it: old or new list of members. */
export type View = (node: number) => Graph;

/** Delay of a message from one node to another, in whole milliseconds. */
export type Delay = (from: number, to: number) => number;

/** Nodes, the dead among them, and where a change begins. */
export interface Situation {
  readonly nodes: number;
  /** 1 for a node that runs. */
  readonly alive: Uint8Array;
  readonly origin: number;
  readonly delay: Delay;
}

/** How a change spread. Arrays are by node. */
export interface Spread {
  /** Time of arrival in milliseconds; Infinity where it never came. */
  readonly arrivalMs: Float64Array;
  /** Hops taken by the first copy. */
  readonly hops: Uint16Array;
  readonly sent: Uint32Array;
  readonly received: Uint32Array;
}

/** A spread in a few figures. */
export interface Summary {
  /** Share of the running nodes that were reached by pushes alone. */
  readonly reachedByPush: number;
  readonly hopsMean: number;
  readonly hopsMax: number;
  /** Until the last node that pushes reach. */
  readonly pushMs: number;
  /** Until the last running node, renewals repairing what pushes missed. */
  readonly wholeMs: number;
  readonly copiesSentMean: number;
  readonly copiesSentMax: number;
  readonly copiesReceivedMean: number;
}
