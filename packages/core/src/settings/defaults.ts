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
    /** Time a new link may take to open. */
    connectTimeoutMs: 1000,
    /** Bytes waiting for one peer at which its link is dropped. */
    queueBytes: 16777216,
  },
  logs: {
    level: 'info' as 'trace' | 'debug' | 'info' | 'warn' | 'error',
  },
};

/** Settings of all subjects. */
export type Tuning = typeof DEFAULTS;
