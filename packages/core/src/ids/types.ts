/**
 * @fileoverview Branded types for identifiers, so that none is mixed up.
 *
 * A daemon is a process on a host. An incarnation is one membership of a daemon
 * in the workspace: a daemon that joins again gets a new one. A member is an
 * incarnation that the cluster map lists. An instance is one start of a backend
 * server. A peer is the daemon at the other end of a link.
 */

/** Name of a deployment, for example `taipei`. */
export type WorkspaceName = string & {readonly brand: 'WorkspaceName'};

/** Name of a service inside a workspace, for example `finder`. */
export type ServiceName = string & {readonly brand: 'ServiceName'};

/** Name of a tenant: a customer whose callers share API keys and a quota. */
export type TenantName = string & {readonly brand: 'TenantName'};

/** Name of an availability zone. */
export type ZoneName = string & {readonly brand: 'ZoneName'};

/** Name of the host that a daemon runs on; the same after a restart. */
export type HostName = string & {readonly brand: 'HostName'};

/** One incarnation of a daemon: `<host>#<incarnation>`; never reused. */
export type MemberId = string & {readonly brand: 'MemberId'};

/** `ip:port` that a daemon or backend server listens on. */
export type Address = string & {readonly brand: 'Address'};

/** A caller's request; unique across all daemons. */
export type RequestId = string & {readonly brand: 'RequestId'};

/** One attempt at a request; unique across all daemons. */
export type AttemptId = string & {readonly brand: 'AttemptId'};

/** A call to the store; the reply to the call has the same id. */
export type CallId = number & {readonly brand: 'CallId'};

/** A write to the store; its writer finds by it whether it took effect. */
export type WriteId = string & {readonly brand: 'WriteId'};

/**
 * A slice: one of the fixed partitions (shards) of a service's keys, 0 to
 * `slices - 1`.
 */
export type Slice = number & {readonly brand: 'Slice'};

/**
 * Class of requests with similar run times: a hash of the route's pattern with
 * the size class of the body; 0 for none.
 */
export type CostClass = number & {readonly brand: 'CostClass'};

/** Log index in a workspace's replicated log; 0 is before the first entry. */
export type Version = number & {readonly brand: 'Version'};

/**
 * Fencing token (epoch) of a slice. Rises by one whenever the slice gets a new
 * owner or the owner's backend server is another instance; it never falls.
 */
export type Generation = number & {readonly brand: 'Generation'};

/** Id that a backend server chooses at each start. */
export type InstanceId = string & {readonly brand: 'InstanceId'};
