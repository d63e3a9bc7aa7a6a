/** @fileoverview Types shared by the map bench and its worker. */

/** Size of the measured map. */
export interface MapSize {
  readonly members: number;
  readonly slices: number;
}
