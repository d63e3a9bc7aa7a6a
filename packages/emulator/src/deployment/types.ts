/** @fileoverview A cluster whose processes run on this machine. */

import type {KilledServer} from '../ledger/logic.js';
import type {ServerRecord, ServerOptions} from '../server/types.js';

/** A process that was started by this tool. */
export interface ManagedProcess {
  readonly name: string;
  readonly pid: number;
  /** The latest lines of standard output and standard error. */
  readonly output: string[];
  /** Resolves with the exit code or the name of the signal. */
  readonly exited: Promise<string>;
  readonly isRunning: () => boolean;
  /**
   * The error code or signal that it ended with. Null while it runs, after an
   * end in order, and after SIGKILL, which only tests send.
   */
  readonly failure: () => string | null;
  readonly kill: (signal: NodeJS.Signals) => void;
}

/** Limits of a process. */
export interface ProcessLimits {
  /** Maximum size of the heap's old generation, in MB. */
  readonly heapMb: number;
  /** Maximum number of open descriptors. */
  readonly descriptors: number;
}

/** A host to start: a daemon and its local backend server. */
export interface HostPlan {
  readonly host: string;
  readonly zone: string;
  readonly service: string;
}

/** A cluster to start. */
export interface ClusterPlan {
  readonly workspace: string;
  readonly hosts: readonly HostPlan[];
  /** Whether links between daemons pass through relays, which inject faults. */
  readonly relays: boolean;
  readonly server: Partial<ServerOptions>;
  /** Partial tuning of the daemons. */
  readonly tuning: Readonly<Record<string, unknown>>;
  readonly seed: number;
  /** Limits of each daemon; those of this process if absent. */
  readonly daemonLimits?: ProcessLimits;
  /** Existing folder for a log file of each daemon; absent to keep none. */
  readonly logFolder?: string;
}

/** A running host. Addresses are `ip:port`. */
export interface Host {
  readonly plan: HostPlan;
  /** Where the daemon listens for callers, operators and links. */
  readonly callers: string;
  readonly operators: string;
  readonly links: string;
  /** Path of the daemon's settings. */
  readonly settingsFile: string;
  /** Path of the daemon's log file, if one is kept. */
  readonly logFile?: string;
  /** Limits of the daemon; those of this process if absent. */
  readonly daemonLimits?: ProcessLimits;
  readonly serverPort: number;
  readonly serverControlAddress: string;
  /** Null without a relay. */
  readonly relayControlAddress: string | null;
  /** True while the daemon is stopped by SIGSTOP. */
  frozen: boolean;
  /** Daemons that ran on the host before the latest one. */
  readonly earlierDaemons: ManagedProcess[];
  /** Null while the process isn't running. */
  daemon: ManagedProcess | null;
  server: ManagedProcess | null;
}

/** A running cluster and what its backend servers recorded. */
export interface Cluster {
  readonly plan: ClusterPlan;
  readonly platformControlAddress: string;
  readonly hosts: ReadonlyMap<string, Host>;
  readonly serverRecords: ServerRecord[];
  readonly killedServers: KilledServer[];
}
