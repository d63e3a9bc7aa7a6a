/**
 * @fileoverview The store's era: how often the store was restored to an older
 * copy. Revisions and versions of the store go back and are issued again at each
 * restore, so they are compared only within one era.
 */

/**
 * Number of versions in one era: 2^40 transactions are 230 years at 150 a
 * second. Counts on the wire have 52 bits, so that 10 are left for the era and 2
 * for the flags of a configuration number.
 */
const VERSIONS_PER_ERA = 2 ** 40;
/** Highest era; a store is not expected to be restored a thousand times. */
const MAX_ERA = 2 ** 10 - 1;

/** Era of a store whose replies carry no era: it is never restored. */
export const NO_ERA = 0;

/** The parts of a configuration number, the most significant first. */
export interface ConfigurationNumber {
  /** Era in which the rows were read. */
  readonly era: number;
  /**
   * Whether the operator has had the time to write its rows again since the
   * restore, so that an absent row counts as deleted.
   */
  readonly settled: boolean;
  /** Version of the store. */
  readonly version: number;
  /**
   * Whether a daemon has added what it had in force and what the restored rows
   * lack.
   */
  readonly merged: boolean;
}

/**
 * Reads the value of the header `Store-Era`.
 *
 * @param value - The header, if there is one.
 * @returns The era, counted from 1; `NO_ERA` without a valid header.
 */
export function parseEra(
  value: string | readonly string[] | undefined,
): number {
  if (typeof value !== 'string' || !/^\d{1,4}$/.test(value)) return NO_ERA;
  const era = Number(value) + 1;
  return era <= MAX_ERA ? era : NO_ERA;
}

/**
 * Orders revisions of the store across eras.
 *
 * @param era - The era in which the revision was issued or read.
 * @param revision - The revision.
 * @returns A number that rises with (era, revision); without an era, the
 *     revision itself.
 */
export function rankRevision(era: number, revision: number): number {
  return era * VERSIONS_PER_ERA + revision;
}

/**
 * Returns the era of a number made by `rankRevision`.
 *
 * @param rank - The number.
 * @returns The era.
 */
export function eraOfRevision(rank: number): number {
  return Math.floor(rank / VERSIONS_PER_ERA);
}

/**
 * Makes the number of an external configuration. Without an era it is the
 * version of the store; otherwise it orders by era, settled, version and merged.
 *
 * @param parts - Its parts.
 * @returns A safe integer.
 */
export function makeConfigurationNumber(parts: ConfigurationNumber): number {
  const {era, settled, version, merged} = parts;
  if (era === NO_ERA) return version;
  const high = era * 2 + Number(settled);
  return high * VERSIONS_PER_ERA * 2 + version * 2 + Number(merged);
}

/**
 * Splits the number of an external configuration.
 *
 * @param number - The number.
 * @returns Its parts; one without an era counts as settled.
 */
export function parseConfigurationNumber(number: number): ConfigurationNumber {
  const low = number % (VERSIONS_PER_ERA * 2);
  const high = Math.floor(number / (VERSIONS_PER_ERA * 2));
  const era = Math.floor(high / 2);
  if (era === NO_ERA) {
    return {era, settled: true, version: number, merged: false};
  }
  return {
    era,
    settled: high % 2 === 1,
    version: Math.floor(low / 2),
    merged: low % 2 === 1,
  };
}
