/** @fileoverview Keys under which the state of slice grants is kept. */

import type {ServiceName, Slice} from '../ids/types.js';
import type {SliceGrant} from '../loop/types.js';

/**
 * Returns the key of a slice.
 *
 * @param service - The service.
 * @param slice - The slice.
 * @returns `service/slice`.
 */
export function sliceKey(service: ServiceName, slice: Slice): string {
  return `${service}/${slice}`;
}

/**
 * Returns the keys of the slices of a grant.
 *
 * @param service - The service.
 * @param grant - The first slice and the number of slices.
 * @returns The keys in ascending order of the slices.
 */
export function sliceKeysOf(
  service: ServiceName,
  grant: Pick<SliceGrant, 'first' | 'count'>,
): string[] {
  return Array.from({length: grant.count}, (_, step) =>
    sliceKey(service, (grant.first + step) as Slice),
  );
}

/**
 * Returns the key of a grant that was sent.
 *
 * @param round - Number of the effect that sent it.
 * @param grant - The grant.
 * @returns `round/first slice`.
 */
export function grantKey(
  round: number,
  grant: Pick<SliceGrant, 'first'>,
): string {
  return `${round}/${grant.first}`;
}
