/** @fileoverview Types of a daemon's settings. */

import type {
  Address,
  HostName,
  Tuning,
  WorkspaceName,
  ZoneName,
} from '@jackdawfall/core';

/** An address to listen on. */
export interface Endpoint {
  /** IP address. */
  readonly ip: string;
  /** TCP port; with 0, the system picks a free one. */
  readonly port: number;
}

/** The settings of a daemon, which are read once at its start. */
export interface Settings {
  readonly workspace: WorkspaceName;
  readonly host: HostName;
  readonly zone: ZoneName;
  /** Where the daemon listens for callers. */
  readonly callers: Endpoint;
  /** Where the daemon listens for links from other daemons. */
  readonly links: Endpoint;
  /** Where the daemon listens for operators and the local backend server. */
  readonly operators: Endpoint;
  /** Address that other daemons connect to, or null if it is that of `links`. */
  readonly linkAddress: Address | null;
  readonly platform: {readonly addresses: readonly Address[]};
  /** Tuning values of the file, merged with the defaults. */
  readonly tuning: Tuning;
}
