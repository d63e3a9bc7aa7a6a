/**
 * @fileoverview Changes that one member asks another to commit, so that members
 * that join, offer a server or release slices at the same time do not race for
 * log entries.
 */

import {z} from 'zod';

import type {Instant} from '../clock/types.js';
import type {MemberId, ServiceName, Slice} from '../ids/types.js';
import type {Handover, MemberChange} from '../log/types.js';

/** Schema of the JSON text of a `Proposal`. */
export const PROPOSAL_SCHEMA = z.discriminatedUnion('kind', [
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
  z.object({
    kind: z.literal('released'),
    member: z.string(),
    service: z.string(),
    slices: z.array(z.int().min(0)),
    generations: z.array(z.int().min(0)),
    handovers: z.array(z.object({slice: z.int().min(0), token: z.string()})),
  }),
]);

/**
 * Drained slices that their owner releases, each under the generation that it
 * drained. A slice has no later move under that generation, so a late proposal
 * releases nothing that the owner uses again.
 */
export interface ProposedRelease {
  readonly kind: 'released';
  /** The owner. */
  readonly member: MemberId;
  readonly service: ServiceName;
  readonly slices: readonly Slice[];
  /** Their generations, in the order of `slices`. */
  readonly generations: readonly number[];
  readonly handovers: readonly Handover[];
}

/** A change that one member asks another to commit. */
export type Proposal = MemberChange | ProposedRelease;

/** A change that another member asked this one to commit. */
export interface ReceivedProposal {
  readonly change: Proposal;
  /** Monotonic time of the newest request of its member, in milliseconds. */
  readonly receivedAt: number;
  /** Monotonic time of the first of its requests that wait, in milliseconds. */
  readonly waitsSince: number;
}

/** A change that this daemon asked other members to commit. */
export interface SentProposal {
  /** JSON text of the change. */
  readonly text: string;
  /** Member that was asked, or null. */
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
   * The first members that joined lately. Unlike older members, they are known
   * to have been alive.
   */
  readonly newcomers: MemberId[];
  /**
   * When this incarnation first asked another member to commit that it joins,
   * or null.
   */
  joinRequestedAt: Instant | null;
}
