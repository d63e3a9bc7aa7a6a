/**
 * @fileoverview The one default configuration. Types of the settings derive
 * from it; each subject has its own section. Times are in milliseconds.
 */

/** Every tunable of a daemon, with its default. */
export const DEFAULT_TUNING = {
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
    /** Whether work of shared services needs the lease as well. */
    coversShared: true,
  },
  membership: {
    /** Own-row writes a second that the whole workspace may need. */
    touchesPerSecond: 200,
    /** Time between two questions to a silent member. */
    probeMs: 2000,
    /** Time without a promise after which a closed member ends itself. */
    closedOutMs: 1500,
    /** Time a member waits before it follows a changed ring. */
    followRingMs: 3000,
    /** Longest time a planned stop may take. */
    stopMs: 20000,
    /** Time after which a member that takes no work dispatches none. */
    drainGraceMs: 2500,
    /** Whether a host runs one daemon at most, so that a new one replaces. */
    soleProcess: false,
    /** Time a daemon that comes back goes on serving while it stops. */
    stopServeMs: 0,
    /** Whether a stopped daemon comes back beside the same server. */
    returnsAfterStop: false,
  },
  balance: {
    /** Length of a window of measurement. */
    windowMs: 2000,
    /** Time between two rounds of moves, so that reports catch up. */
    roundMs: 3000,
    /** Time for which a slice that was moved for its load stays. */
    stayMs: 30000,
    /** A member whose load is this far above the mean is relieved. */
    hotShare: 1.25,
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
    /** Time a leaving server is still given work for slices it holds. */
    leavingMs: 2000,
  },
  links: {
    /** Time between two looks at a link; heartbeats fall on them. */
    heartbeatMs: 250,
    /** Silence, while something is awaited, after which a link is lost. */
    silenceMs: 1000,
    /** Time after which an unused link is closed. */
    unusedMs: 30000,
    /** Bytes in flight for one body before the sender waits. */
    windowBytes: 262144,
    /** Time a new link may take to open. */
    connectTimeoutMs: 1000,
    /** Estimated size at which a frame is closed and another begins. */
    batchBytes: 262144,
    /** Bytes waiting for one peer at which its link is dropped. */
    queueBytes: 16777216,
  },
  routing: {
    /** Requests a daemon holds for callers at the same time. */
    maxRequests: 8192,
    /** First wait before a retry; doubles with each. */
    backoffMs: 10,
    /** Longest wait before a retry. */
    maxBackoffMs: 250,
    /** Attempts of one request, hedges and redirects included. */
    maxAttempts: 12,
    /** Time an attempt has after the deadline to say whether it ran. */
    graceMs: 250,
    /** Time between two inquiries about one attempt. */
    inquireMs: 250,
    /** Retries that may be saved up while none are needed. */
    retryBurst: 20,
    /** The same for all daemons together; 0 leaves them without a bound. */
    sharedRetryBurst: 0,
    /** Shortest wait before a hedge. */
    minHedgeMs: 2,
    /** Time after which a latency counts half in the choice of a server. */
    latencyHalfLifeMs: 1000,
    /** Factor on the score of a server in another availability zone. */
    otherZoneFactor: 1.2,
    /** Longest wait for an owner or a server; 0 waits until the deadline. */
    waitMs: 0,
    /** Whether slow lookups are sent to a second server. */
    hedges: true,
  },
  execution: {
    /** Attempts that wait or run at a daemon at the same time. */
    maxAttempts: 1024,
    /** Silence of a run after which its connection is no longer reused. */
    silentRunMs: 1000,
    /** Whether a run that is silent for long is aborted before its deadline. */
    abortsSilentRuns: true,
    /** Time an outcome or tombstone is remembered. */
    outcomeMs: 10000,
    /** Time an outcome with an idempotency key is remembered. */
    keyedOutcomeMs: 60000,
    /** Outcomes and tombstones remembered at the same time. */
    maxOutcomes: 50000,
    /** Time an origin's last forgotten attempt number is remembered. */
    floorMs: 600000,
    /** Largest answer kept for a replay, in bytes. */
    keptAnswerBytes: 65536,
    /** All answers kept for replays, in bytes. */
    keptTotalBytes: 16777216,
  },
  admission: {
    /** Completions for each unit of the limit before it grows by one. */
    growthCompletions: 10,
    /** Ratio of latency to its baseline that lowers the limit. */
    slowRatio: 2,
    /** Ratio of latency to its baseline that sets the limit to 1. */
    jumpRatio: 4,
    /** Factor on the limit when latency is above `slowRatio`. */
    decrease: 0.8,
    /** Longest wait of interactive work in a queue that lasts. */
    queueMs: 8,
    /** The same while the limit still grows after a start. */
    rampQueueMs: 250,
    /** Longest wait in the queue of deferrable work. */
    deferrableQueueMs: 1000,
    /** Queue places for each class, as a multiple of the slots. */
    queueFactor: 4,
    /** Largest share of the limit that deferrable work uses. */
    deferrableShare: 0.25,
    /** Longest wait in the queue of a server that reports its cold start, as
     * a share of the latency objective. */
    objectiveShare: 0.25,
    /** Least of these longest waits. */
    leastQueueMs: 150,
  },
  logs: {
    level: 'info' as 'trace' | 'debug' | 'info' | 'warn' | 'error',
  },
};

/** Settings of all subjects. */
export type Tuning = typeof DEFAULT_TUNING;
