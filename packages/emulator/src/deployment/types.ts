/** @fileoverview Processes of one deployment on this machine. */

import type {KilledServer} from '../ledger/logic.js';
import type {ServerNote, ServerOptions} from '../server/types.js';

/** A process that was started here. */
export interface ManagedProcess {
  readonly name: string;
  readonly pid: number;
  /** The latest lines of both outputs, bounded. */
  readonly output: string[];
  /** Resolves with the exit code or signal. */
  readonly exited: Promise<string>;
  readonly isRunning: () => boolean;
  /** True once it ended with an error and without a signal of this tool. */
  readonly hasFailed: () => boolean;
  readonly kill: (signal: NodeJS.Signals) => void;
}

/** One host: a daemon and the backend server beside it. */
export interface HostPlan {
  readonly host: string;
  readonly zone: string;
  readonly service: string;
}

/** What to start. */
export interface ClusterPlan {
  readonly workspace: string;
  readonly hosts: readonly HostPlan[];
  /** Whether links between daemons pass through relays. */
  readonly relays: boolean;
  readonly server: Partial<ServerOptions>;
  /** Partial settings of the daemons. */
  readonly tuning: Readonly<Record<string, unknown>>;
  readonly seed: number;
}

/** One host that runs. */
export interface Host {
  readonly plan: HostPlan;
  readonly callers: string;
  readonly operators: string;
  readonly links: string;
  readonly settingsFile: string;
  readonly serverPort: number;
  readonly serverControlAddress: string;
  readonly relayControlAddress: string | null;
  /** True while its daemon is stopped by SIGSTOP. */
  frozen: boolean;
  daemon: ManagedProcess | null;
  server: ManagedProcess | null;
}

/** Everything that runs, and what the backend servers noted. */
export interface Cluster {
  readonly plan: ClusterPlan;
  readonly platformControlAddress: string;
  readonly hosts: ReadonlyMap<string, Host>;
  readonly notes: ServerNote[];
  readonly killedServers: KilledServer[];
}
