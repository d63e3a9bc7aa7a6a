/** @fileoverview Reading the rows of members, which may have other writers. */

import {z} from 'zod';

import {nameSchema} from '../log/schemas.js';
import {log} from '../ownership/effects.js';
import type {OwnershipContext} from '../ownership/state.js';
import type {Row} from '../store/types.js';
import {parseDocument} from '../validation/logic.js';
import type {MemberRow} from './types.js';

/** The fields that are read; the log has the others. */
const memberRowSchema = z.object({
  grantors: z.array(nameSchema),
  writeId: nameSchema,
  era: z.int().min(1).optional(),
});

/**
 * Parses the row of a member.
 *
 * @param context - Context of the current input.
 * @param row - The row.
 * @returns The fields that are read, or null if the row can't be read.
 */
export function parseMemberRow(
  context: OwnershipContext,
  row: Row,
): Pick<MemberRow, 'grantors' | 'writeId' | 'era'> | null {
  const parsed = parseDocument(row.value, memberRowSchema);
  if (parsed.kind === 'ok') return parsed.value as unknown as MemberRow;
  log(context, 'storedRowUnreadable', {key: row.key});
  return null;
}
