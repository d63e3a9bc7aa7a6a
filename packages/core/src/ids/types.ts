/** @fileoverview Branded identifiers; a plain string is never mistaken for one. */

/** Name of a deployment, for example `taipei`. */
export type WorkspaceName = string & {readonly brand: 'WorkspaceName'};

/** Name of a service inside a workspace, for example `finder`. */
export type ServiceName = string & {readonly brand: 'ServiceName'};

/** Name of an availability zone. */
export type ZoneName = string & {readonly brand: 'ZoneName'};

/** Name of the host a daemon runs on; stable over restarts. */
export type HostName = string & {readonly brand: 'HostName'};

/** One incarnation of a daemon: `<host>#<incarnation>`; never reused. */
export type MemberId = string & {readonly brand: 'MemberId'};

/** `ip:port` at which a daemon accepts links. */
export type Address = string & {readonly brand: 'Address'};

/** One caller's request, unique over all daemons. */
export type RequestId = string & {readonly brand: 'RequestId'};

/** One attempt at a request, unique over all daemons. */
export type AttemptId = string & {readonly brand: 'AttemptId'};

/** A call to the platform; ties a reply to the call that caused it. */
export type CallId = number & {readonly brand: 'CallId'};

/** Names a write so that its author can find out whether it took effect. */
export type WriteId = string & {readonly brand: 'WriteId'};

/** Index of a slice inside one service: 0 to `slices - 1`. */
export type Slice = number & {readonly brand: 'Slice'};

/** Position in a workspace's log; 0 is before the first entry. */
export type Version = number & {readonly brand: 'Version'};

/** Fence token of a slice; rises by one at each change of owner. */
export type Generation = number & {readonly brand: 'Generation'};

/** Identity a backend server gives itself at each start. */
export type InstanceId = string & {readonly brand: 'InstanceId'};
