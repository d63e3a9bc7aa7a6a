/**
 * @fileoverview The one default configuration. Types of the settings derive
 * from it; each subject has its own section. Times are in milliseconds.
 */

/** Every tunable of a daemon, with its default. */
export const DEFAULTS = {
  loop: {
    /** Time between two `ticked` events. */
    tickMs: 50,
  },
  leases: {
    /** Time between two renewals. */
    renewMs: 500,
    /** Life of a promise, from the time its renewal was sent. */
    leaseMs: 1500,
    /** Allowance for clocks that run at different rates. */
    marginMs: 150,
    /** Silence of a member after which its grantor suspects it. */
    suspectMs: 800,
    /** Longest time a member may stay behind its grantor's configuration. */
    behindMs: 2000,
  },
  membership: {
    /** Own-row writes a second that the whole workspace may need. */
    touchesPerSecond: 200,
    /** Time for which a silent grantor is passed over. */
    passOverMs: 5000,
    /** Time a member waits before it follows a changed ring. */
    followRingMs: 3000,
    /** Longest time a planned stop may take. */
    stopMs: 20000,
    /** Time after which a member that takes no work dispatches none. */
    drainGraceMs: 2500,
  },
  log: {
    /** Newest entries kept in memory for other members. */
    keptEntries: 512,
    /** Entries between two snapshots. */
    snapshotEntries: 256,
    /** Most entries in one message or read. */
    batchEntries: 128,
    /** Silence of all peers after which the table is read. */
    pollMs: 2000,
    /** Time a command may take before its result is called unknown. */
    commandMs: 8000,
  },
  store: {
    /** Time after which a call counts as unanswered. */
    timeoutMs: 1000,
    /** Longest wait between two tries. */
    maxBackoffMs: 5000,
  },
  announcements: {
    /** Time after which a silent backend server counts as gone. */
    ttlMs: 2000,
  },
  links: {
    /** Time between two heartbeats. */
    heartbeatMs: 250,
    /** Silence after which a link is dropped. */
    silenceMs: 1000,
    /** Bytes in flight for one body before the sender waits. */
    windowBytes: 262144,
  },
  logs: {
    level: 'info' as 'trace' | 'debug' | 'info' | 'warn' | 'error',
  },
};

/** Settings of all subjects. */
export type Tuning = typeof DEFAULTS;
