/**
 * @fileoverview Defaults of the tuning values. The types of the settings are
 * derived from them; each subsystem has a section. Times are in milliseconds.
 */

/** Every tuning value of a daemon, with its default. */
export const DEFAULT_TUNING = {
  loop: {
    /** Interval of `ticked` events. */
    tickMs: 50,
  },
  leases: {
    /** Interval of lease renewals. */
    renewMs: 500,
    /** Duration of a lease grant, from the time its renewal was sent. */
    leaseMs: 1500,
    /** Safety margin for clocks that run at different rates. */
    marginMs: 150,
    /** Silence of a member after which a grantor suspects it to be down. */
    suspectMs: 800,
    /** Time after which a member with an older configuration gets no grants. */
    behindMs: 2000,
    /** Whether requests of shared services need a valid lease as well. */
    coversShared: true,
  },
  membership: {
    /** Own-row writes per second that all members together may make. */
    touchesPerSecond: 200,
    /** Interval of probes to members that are silent. */
    probeMs: 2000,
    /** Time without a grant after which a member closed by others ends itself. */
    closedOutMs: 1500,
    /** Time for which a changed ring of grantors must last to be followed. */
    followRingMs: 3000,
    /** Longest duration of a planned stop. */
    stopMs: 20000,
    /** Time for which a member that takes no new work still dispatches. */
    drainGraceMs: 2500,
    /** Whether a host runs one daemon at most: a new one replaces the old. */
    soleProcess: false,
    /** Time for which a stopping daemon that is to return goes on serving. */
    stopServeMs: 0,
    /** Whether a stopped daemon returns beside the same backend server. */
    returnsAfterStop: false,
  },
  balance: {
    /** Length of the window over which load is measured. */
    windowMs: 2000,
    /** Time between two rounds of moves, in which load reports catch up. */
    roundMs: 3000,
    /** Time for which a slice that was moved for its load isn't moved again. */
    stayMs: 30000,
    /** Ratio of a member's load to the mean above which slices move away. */
    hotShare: 1.25,
  },
  log: {
    /** Newest log entries kept in memory for other members. */
    keptEntries: 512,
    /** Log entries between two snapshots. */
    snapshotEntries: 256,
    /** Largest number of entries in one message or read. */
    batchEntries: 128,
    /** Time without news of the log after which it is read from the store. */
    pollMs: 2000,
    /** Time after which the result of a command is reported as unknown. */
    commandMs: 8000,
  },
  store: {
    /** Timeout of a call. */
    timeoutMs: 1000,
    /** Longest delay between two tries. */
    maxBackoffMs: 5000,
  },
  announcements: {
    /** Time without an announcement after which a server counts as gone. */
    ttlMs: 2000,
    /** Time for which a leaving server still gets requests of its slices. */
    leavingMs: 2000,
  },
  links: {
    /** Interval at which links are checked and heartbeats are sent. */
    heartbeatMs: 250,
    /** Silence of a peer that owes a frame after which its link is lost. */
    silenceMs: 1000,
    /** Time after which an idle link is closed. */
    unusedMs: 30000,
    /** Flow control window: unacknowledged bytes of one body. */
    windowBytes: 262144,
    /** Timeout for opening a link. */
    connectTimeoutMs: 1000,
    /** Estimated size of a frame above which the next message starts another. */
    batchBytes: 262144,
    /** Bytes queued for one peer above which its link is dropped. */
    queueBytes: 16777216,
  },
  routing: {
    /** Largest number of pending requests of a daemon's callers. */
    maxRequests: 8192,
    /** Longest delay before the first retry; doubles with each attempt. */
    backoffMs: 10,
    /** Upper bound of the delay before any retry. */
    maxBackoffMs: 250,
    /** Largest number of attempts, without redirects and hedges. */
    maxAttempts: 12,
    /** Time after the deadline in which a daemon may report an attempt's end. */
    graceMs: 250,
    /** Interval of inquiries about an attempt whose link was lost. */
    inquireMs: 250,
    /** Largest balance of a daemon's retry budget. */
    retryBurst: 20,
    /** Largest balance of all retry budgets together; 0 means no bound. */
    sharedRetryBurst: 0,
    /** Shortest delay before a hedge. */
    minHedgeMs: 2,
    /** Half-life of an observed latency in the selection of a server. */
    latencyHalfLifeMs: 1000,
    /** Factor on the score of a server in another zone; lower scores win. */
    otherZoneFactor: 1.2,
    /** Longest wait for an owner or a server; 0 means until the deadline. */
    waitMs: 0,
    /** Whether slow idempotent requests are also sent to a second server. */
    hedges: true,
  },
  execution: {
    /** Largest number of attempts that wait or run at a daemon. */
    maxAttempts: 1024,
    /** Silence of a run after which its connection isn't reused. */
    silentRunMs: 1000,
    /** Whether a run that is silent for long is aborted before its deadline. */
    abortsSilentRuns: true,
    /** Time for which an outcome or tombstone of an attempt is kept. */
    outcomeMs: 10000,
    /** Time for which an outcome with an idempotency key is kept. */
    keyedOutcomeMs: 60000,
    /** Largest number of outcomes and tombstones kept. */
    maxOutcomes: 50000,
    /** Time for which the last attempt number dropped of an origin is kept. */
    floorMs: 600000,
    /** Largest response kept for a replay, in bytes. */
    keptAnswerBytes: 65536,
    /** Largest total size of the responses kept for replays, in bytes. */
    keptTotalBytes: 16777216,
  },
  admission: {
    /** Completed runs, as a multiple of the limit, before it grows by one. */
    growthCompletions: 10,
    /** Ratio of latency to its baseline from which the limit is lowered. */
    slowRatio: 2,
    /** Ratio of latency to its baseline from which the limit is reset to 1. */
    jumpRatio: 4,
    /** Factor by which `slowRatio` lowers the limit. */
    decrease: 0.8,
    /** Longest wait of interactive work once its queue persists (overload). */
    queueMs: 8,
    /** The same while the limit still grows after a reset. */
    rampQueueMs: 250,
    /** Longest wait of deferrable work in its queue. */
    deferrableQueueMs: 1000,
    /** Queue capacity of each priority, as a multiple of the slots. */
    queueFactor: 4,
    /** Largest share of the limit that deferrable work may use. */
    deferrableShare: 0.25,
    /**
     * Longest wait in the queue of a server that reports its cold start, as a
     * share of the route's latency objective.
     */
    objectiveShare: 0.25,
    /** Lower bound of the wait that `objectiveShare` allows. */
    leastQueueMs: 150,
  },
  logs: {
    level: 'info' as 'trace' | 'debug' | 'info' | 'warn' | 'error',
  },
};

/** Tuning values of all subsystems. */
export type Tuning = typeof DEFAULT_TUNING;
