/**
 * @fileoverview Bodies of the results of operators' commands. A daemon sends
 * them as the JSON text in `CommandResult.body`; the client checks them.
 */

/** A backend server as the log knows it. */
export interface OfferedServer {
  readonly service: string;
  readonly slots: number;
  /** True once it asked to leave or was told to stop. */
  readonly leaving: boolean;
}

/** One live member as the asked daemon knows it. */
export interface MemberStatus {
  readonly member: string;
  readonly zone: string;
  /** Its operators port as `ip:port`, or null if unknown. */
  readonly operators: string | null;
  /** The backend server beside it, or null. */
  readonly server: OfferedServer | null;
  /** Slices it owns, over all services. */
  readonly owned: number;
  /** Slices it stands by for. */
  readonly standby: number;
  /** True while its slices move away. */
  readonly draining: boolean;
}

/** State of the slices of one keyed service. */
export interface ServiceStatus {
  readonly service: string;
  readonly slices: number;
  readonly unowned: number;
  readonly withoutStandby: number;
  readonly moving: number;
}

/** Body of `status`. */
export interface Status {
  readonly workspace: string;
  /** The asked daemon's member id, or null before it joined. */
  readonly member: string | null;
  readonly zone: string;
  /** For example `joining`, `joined`, `stopping`. */
  readonly phase: string;
  /** Log version the asked daemon has applied. */
  readonly version: number;
  /** Version of the configuration in force at the asked daemon, 0 for none. */
  readonly configuration: number;
  /** JSON text of that configuration, or null. */
  readonly document: string | null;
  readonly coordinator: string | null;
  readonly lease: {
    readonly held: boolean;
    readonly grantors: readonly string[];
  };
  /** Whether the latest call to the platform was answered. */
  readonly storeReachable: boolean;
  readonly zonesOut: readonly string[];
  readonly members: readonly MemberStatus[];
  readonly services: readonly ServiceStatus[];
}

/** Consecutive slices that are placed alike. */
export interface MapRun {
  readonly first: number;
  readonly count: number;
  readonly owner: string | null;
  readonly standby: string | null;
  readonly generation: number;
  readonly moving: boolean;
}

/** Body of `map`. */
export interface MapView {
  readonly service: string;
  readonly version: number;
  readonly runs: readonly MapRun[];
}

/** Body of `apply`, `zone`, `stopServer` and `endMember`. */
export interface AcceptedChange {
  /** Log version of the accepted change. */
  readonly version: number;
  /** Version of the configuration after it. */
  readonly configuration: number;
}

/** Body of `progress`: how far the asked daemon is. */
export interface Progress {
  /** Its member id, or null before it joined. */
  readonly member: string | null;
  /** Log version it has applied. */
  readonly version: number;
  /** Version of the configuration in force there. */
  readonly configuration: number;
}

/** One change in the audit trail. */
export interface AuditEntry {
  /** Log versions before and after the change. */
  readonly from: number;
  readonly to: number;
  /** Milliseconds since the epoch, by the clock of the accepting daemon. */
  readonly at: number;
  /** Who asked for it: an operator, or the member that decided it. */
  readonly by: string;
  /** What was changed, for example `zone b out`. */
  readonly what: string;
}

/** Body of `audit`, the newest entry first. */
export interface AuditPage {
  readonly entries: readonly AuditEntry[];
  /** Lowest log version that was searched; above 1 there may be more. */
  readonly searchedFrom: number;
}
