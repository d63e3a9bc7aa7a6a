/** @fileoverview Relay between two parties: orders and ledger. */

import {z} from 'zod';

/** Whose connections an order concerns; every one when omitted. */
const FROM = z.string().optional();

/** Orders of a relay's control port. */
export const RELAY_ORDERS = z.discriminatedUnion('kind', [
  /** Names the processes that may connect, by process id. */
  z.object({
    kind: z.literal('peers'),
    pids: z.record(z.string(), z.number().int()),
  }),
  z.object({kind: z.literal('pass'), from: FROM}),
  /** Resets connections and refuses new ones. */
  z.object({kind: z.literal('cut'), from: FROM}),
  /** Nothing passes in one direction; new connections neither. */
  z.object({
    kind: z.literal('cutOneWay'),
    from: FROM,
    direction: z.enum(['toTarget', 'fromTarget']),
  }),
  /** Existing connections go silent; new ones too unless `freshWorks`. */
  z.object({
    kind: z.literal('blackhole'),
    from: FROM,
    freshWorks: z.boolean(),
  }),
  /** Each chunk takes this much longer. */
  z.object({kind: z.literal('delay'), from: FROM, ms: z.number().min(0)}),
]);

/** One order to a relay. */
export type RelayOrder = z.infer<typeof RELAY_ORDERS>;

/** How connections of one party are treated. */
export type Rule = Exclude<RelayOrder, {kind: 'peers'}>;

/** How to start a relay. */
export interface RelayOptions {
  readonly port: number;
  readonly controlPort: number;
  /** `ip:port` to which connections are relayed. */
  readonly target: string;
}

/** Where a relay listens. */
export interface RelayPorts {
  readonly port: number;
  readonly controlPort: number;
}

/** What a relay did. */
export interface RelayLedger {
  opened: number;
  reset: number;
  /** Bytes towards the target. */
  bytesTo: number;
  /** Bytes from the target. */
  bytesFrom: number;
}
