/**
 * @fileoverview Changes that one member asks another to commit, so that members
 * that join or offer a server at the same time do not race for log entries.
 */

import {z} from 'zod';

import type {MemberId} from '../ids/types.js';
import type {MemberChange} from '../log/types.js';

/** Schema of the JSON text of a `MemberChange`. */
export const MEMBER_CHANGE_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('joined'),
    member: z.string(),
    zone: z.string(),
    address: z.string(),
    operators: z.string().nullable(),
    replaces: z.string().nullable(),
  }),
  z.object({
    kind: z.literal('offered'),
    member: z.string(),
    service: z.string(),
    instance: z.string(),
    slots: z.number(),
    leaving: z.boolean(),
  }),
]);

/** A change that another member asked this one to commit. */
export interface ReceivedProposal {
  readonly change: MemberChange;
  /** Monotonic time of the request, in milliseconds. */
  readonly receivedAt: number;
}

/** A change that this daemon asked other members to commit. */
export interface SentProposal {
  /** JSON text of the change. */
  readonly text: string;
  /** Number of requests so far. */
  requests: number;
  /** Member that was asked last, or null. */
  to: MemberId | null;
  /** Monotonic time until which it may commit the change, in milliseconds. */
  timeoutAt: number;
}

/** Proposals of this daemon and of others. */
export interface Proposals {
  /** What others asked for, by member. */
  readonly received: Map<MemberId, ReceivedProposal>;
  sent: SentProposal | null;
  /**
   * The first members that joined after this daemon had read the log. Unlike
   * older members, they are known to have been alive lately.
   */
  readonly newcomers: MemberId[];
}
