/** @fileoverview Types of the calculation of how changes spread. */

/** Lists of neighbours by node. */
export type Graph = readonly (readonly number[])[];

/** The overlay from the view of a node, whose list of members may be old. */
export type GraphView = (node: number) => Graph;

/** Delay of a message from one node to another, in whole milliseconds. */
export type Delay = (from: number, to: number) => number;

/** The nodes, which of them run, and where a change begins. */
export interface NetworkState {
  readonly nodes: number;
  /** By node: 1 if it runs, else 0. */
  readonly alive: Uint8Array;
  readonly origin: number;
  readonly delay: Delay;
}

/** How a change has spread. Arrays are indexed by node. */
export interface Propagation {
  /** Time of arrival, in milliseconds; Infinity for a node not reached. */
  readonly arrivalMs: Float64Array;
  /** Hops taken by the first copy. */
  readonly hops: Uint16Array;
  /** Copies that a node has sent and received. */
  readonly sent: Uint32Array;
  readonly received: Uint32Array;
}

/** Statistics of how a change has spread. */
export interface Summary {
  /** Share of the running nodes that pushes reach. */
  readonly reachedByPush: number;
  readonly hopsMean: number;
  readonly hopsMax: number;
  /** Time until the last node that pushes reach. */
  readonly pushMs: number;
  /** Time until the last running node, with the repair by renewals. */
  readonly wholeMs: number;
  readonly copiesSentMean: number;
  readonly copiesSentMax: number;
  readonly copiesReceivedMean: number;
}
