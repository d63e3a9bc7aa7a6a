/** @fileoverview What the map bench and its worker tell each other. */

/** How large a map is measured. */
export interface MapSize {
  readonly members: number;
  readonly slices: number;
}
