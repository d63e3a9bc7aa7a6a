/**
 * @fileoverview Results of operators' commands. A daemon sends them as JSON in
 * `CommandResult.body`; the client validates them.
 */

/** A registered backend server: what it offers according to the log. */
export interface OfferedServer {
  readonly service: string;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  /** True once the server is shutting down: it asked to or was told to. */
  readonly leaving: boolean;
}

/** One member that the map lists, as seen by the daemon that was asked. */
export interface MemberStatus {
  readonly member: string;
  readonly zone: string;
  /** `ip:port` of its port for operators, or null if unknown. */
  readonly operators: string | null;
  /** Its local backend server, or null. */
  readonly server: OfferedServer | null;
  /** Number of slices that it owns, in all services. */
  readonly owned: number;
  /** Number of slices that it is the standby of. */
  readonly standby: number;
  /**
   * True once it or its backend server is to stop: it takes no new work and its
   * slices move away.
   */
  readonly draining: boolean;
}

/** State of the slices of one keyed service. */
export interface ServiceStatus {
  readonly service: string;
  readonly slices: number;
  /** Slices without an owner. */
  readonly unowned: number;
  /** Slices without a standby. */
  readonly withoutStandby: number;
  /** Slices that move to another member. */
  readonly moving: number;
}

/** Body of `status`. */
export interface Status {
  readonly workspace: string;
  /** Member id of the daemon that was asked, or null before it joined. */
  readonly member: string | null;
  readonly zone: string;
  /** Phase of the daemon, for example `joining`, `joined` or `stopping`. */
  readonly phase: string;
  /** Log version that the daemon has applied. */
  readonly version: number;
  /** Version of the configuration that the daemon has applied, 0 for none. */
  readonly configuration: number;
  /** JSON text of that configuration, or null. */
  readonly document: string | null;
  /** First member in the order of coordinators, or null. */
  readonly coordinator: string | null;
  /**
   * Whether the daemon holds a lease, and the members that its row names as
   * grantors.
   */
  readonly lease: {
    readonly held: boolean;
    readonly grantors: readonly string[];
  };
  /** False if the store refused or did not reply to the latest call. */
  readonly storeReachable: boolean;
  /** Evacuated availability zones: their members take no new work. */
  readonly zonesOut: readonly string[];
  readonly members: readonly MemberStatus[];
  readonly services: readonly ServiceStatus[];
}

/** A slice range: consecutive slices with the same placement and generation. */
export interface MapRange {
  readonly first: number;
  readonly count: number;
  readonly owner: string | null;
  readonly standby: string | null;
  readonly generation: number;
  readonly moving: boolean;
}

/** Body of `map`: placement of one service. */
export interface MapView {
  readonly service: string;
  /** Log version of the map. */
  readonly version: number;
  /** The slice ranges, in ascending order. */
  readonly runs: readonly MapRange[];
}

/** Body of `apply`, `zone`, `stopServer` and `endMember`. */
export interface AcceptedChange {
  /** Log version of the accepted change. */
  readonly version: number;
  /** Version of the configuration after the change. */
  readonly configuration: number;
}

/** Body of `progress`: what the daemon that was asked has applied. */
export interface Progress {
  /** Member id of the daemon, or null before it joined. */
  readonly member: string | null;
  /** Log version that it has applied. */
  readonly version: number;
  /** Version of the configuration that it has applied, 0 for none. */
  readonly configuration: number;
}

/** One change in the audit trail. */
export interface AuditEntry {
  /** Log versions before and after the change. */
  readonly from: number;
  readonly to: number;
  /** Milliseconds since the epoch, by the clock of the writing daemon. */
  readonly at: number;
  /** The operator who requested it, or the member that proposed it. */
  readonly by: string;
  /** The change, for example `zone b out`. */
  readonly what: string;
}

/** Body of `audit`, newest entry first. */
export interface AuditPage {
  readonly entries: readonly AuditEntry[];
  /** Lowest log version that was searched; above 1, there may be more. */
  readonly searchedFrom: number;
}
