/** @fileoverview Relay between two processes: options, commands and ledger. */

import {z} from 'zod';

/** Peer whose connections a command applies to; all peers if omitted. */
const FROM = z.string().optional();

/** Commands that a relay's control port accepts. */
export const RELAY_COMMANDS = z.discriminatedUnion('kind', [
  /** Names the processes that may connect, by process id. */
  z.object({
    kind: z.literal('peers'),
    pids: z.record(z.string(), z.number().int()),
  }),
  /** Relays without faults. */
  z.object({kind: z.literal('pass'), from: FROM}),
  /** Resets connections and refuses new ones. */
  z.object({kind: z.literal('cut'), from: FROM}),
  /** Forwards nothing in one direction, on new connections too. */
  z.object({
    kind: z.literal('cutOneWay'),
    from: FROM,
    direction: z.enum(['toTarget', 'fromTarget']),
  }),
  /**
   * Forwards nothing on open connections; `freshWorks` says whether new
   * connections still work.
   */
  z.object({
    kind: z.literal('blackhole'),
    from: FROM,
    freshWorks: z.boolean(),
  }),
  /** Delays each chunk by this time. */
  z.object({kind: z.literal('delay'), from: FROM, ms: z.number().min(0)}),
]);

/** One command to a relay. */
export type RelayCommand = z.infer<typeof RELAY_COMMANDS>;

/** How the connections of a peer are treated. */
export type Rule = Exclude<RelayCommand, {kind: 'peers'}>;

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

/** Ledger of a relay: counters of what it did. */
export interface RelayLedger {
  opened: number;
  reset: number;
  /** Bytes towards the target. */
  bytesTo: number;
  /** Bytes from the target. */
  bytesFrom: number;
}
