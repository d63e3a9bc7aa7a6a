/** @fileoverview Relay between two processes: options, orders and ledger. */

import {z} from 'zod';

/** Peer whose connections an order applies to; all peers if omitted. */
const FROM = z.string().optional();

/** Orders that a relay's control port accepts. */
export const RELAY_ORDERS = z.discriminatedUnion('kind', [
  /** Names the processes that may connect, by process id. */
  z.object({
    kind: z.literal('peers'),
    pids: z.record(z.string(), z.number().int()),
  }),
  /** Relays without faults. */
  z.object({kind: z.literal('pass'), from: FROM}),
  /** Resets connections and refuses new ones. */
  z.object({kind: z.literal('cut'), from: FROM}),
  /** Passes on nothing in one direction, on new connections too. */
  z.object({
    kind: z.literal('cutOneWay'),
    from: FROM,
    direction: z.enum(['toTarget', 'fromTarget']),
  }),
  /** Passes on nothing on open connections, on new ones unless `freshWorks`. */
  z.object({
    kind: z.literal('blackhole'),
    from: FROM,
    freshWorks: z.boolean(),
  }),
  /** Delays each chunk by this time. */
  z.object({kind: z.literal('delay'), from: FROM, ms: z.number().min(0)}),
]);

/** One order to a relay. */
export type RelayOrder = z.infer<typeof RELAY_ORDERS>;

/** How the connections of a peer are treated. */
export type Rule = Exclude<RelayOrder, {kind: 'peers'}>;

/** Options of a relay. */
export interface RelayOptions {
  readonly port: number;
  readonly controlPort: number;
  /** `ip:port` to which connections are relayed. */
  readonly target: string;
}

/** Ports that a relay listens on. */
export interface RelayPorts {
  readonly port: number;
  readonly controlPort: number;
}

/** Counters of what a relay did. */
export interface RelayLedger {
  opened: number;
  reset: number;
  /** Bytes towards the target. */
  bytesTo: number;
  /** Bytes from the target. */
  bytesFrom: number;
}
