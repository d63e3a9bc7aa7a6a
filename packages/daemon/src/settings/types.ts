/** @fileoverview The settings file of a daemon. */

import type {
  Address,
  HostName,
  Tuning,
  WorkspaceName,
  ZoneName,
} from '@jackdawfall/core';

/** An address to listen at. */
export interface Endpoint {
  /** IP number. */
  readonly ip: string;
  /** TCP port; 0 lets the system choose. */
  readonly port: number;
}

/** Everything a daemon learns at its start. */
export interface Settings {
  readonly workspace: WorkspaceName;
  readonly host: HostName;
  readonly zone: ZoneName;
  /** Where callers connect. */
  readonly callers: Endpoint;
  /** Where other daemons connect. */
  readonly links: Endpoint;
  /** Where operators and the backend server beside it connect. */
  readonly operators: Endpoint;
  /** What other daemons dial in place of `links`, or null. */
  readonly linkAddress: Address | null;
  readonly platform: {readonly addresses: readonly Address[]};
  /** Whole tuning: the file's part laid over the defaults. */
  readonly tuning: Tuning;
}
