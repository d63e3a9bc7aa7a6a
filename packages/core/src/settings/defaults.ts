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
    /**
     * Time after which a call for slice grants is given up. Grants allow for a
     * call that arrives so late.
     */
    grantCallMs: 300,
    /**
     * Time without a renewal after which a watched member is reported silent.
     */
    suspectMs: 800,
    /**
     * Time with an outdated configuration after which a member gets no lease
     * grants.
     */
    behindMs: 2000,
    /** Whether requests of shared services need a valid lease as well. */
    coversShared: true,
  },
  membership: {
    /**
     * Maximum writes of member rows (touches) per second in the whole
     * workspace.
     */
    touchesPerSecond: 200,
    /**
     * Time without a new member or server after which slices that never had an
     * owner are placed.
     */
    formMs: 300,
    /** Interval at which silent grantors are asked whether they are alive. */
    probeMs: 2000,
    /**
     * Time without a lease from a grantor (a row write doesn't count) after
     * which a member leaves and joins again, if every member on another host
     * has revoked it or is silent, and at least one has revoked it.
     */
    closedOutMs: 1500,
    /**
     * Time for which the ring must name other grantors than the member's row
     * before they are changed.
     */
    followRingMs: 3000,
    /** Maximum duration of a planned stop. */
    stopMs: 20000,
    /** Time for which a member without new work still serves its own slices. */
    drainGraceMs: 2500,
    /**
     * Whether at most one daemon runs on a host, so that a new one takes over
     * its predecessor's slices when it joins.
     */
    soleProcess: false,
    /**
     * Time for which a stopping daemon that will be started again on the same
     * host keeps serving.
     */
    stopServeMs: 0,
    /**
     * Whether a stopped daemon is started again with the same backend server.
     */
    returnsAfterStop: false,
  },
  balance: {
    /** Length of the window over which load is measured. */
    windowMs: 2000,
    /** Time between two rounds of moves, in which load reports catch up. */
    roundMs: 3000,
    /** Minimum time between two moves of a slice for its load. */
    stayMs: 30000,
    /**
     * Ratio of a member's utilization to the mean from which slices move away.
     */
    hotShare: 1.25,
  },
  log: {
    /** Number of recent log entries kept in memory for other members. */
    keptEntries: 512,
    /** Number of log entries between two snapshots. */
    snapshotEntries: 256,
    /** Maximum number of entries in one message or read. */
    batchEntries: 128,
    /** Time without news of the log after which it is read from the store. */
    pollMs: 2000,
    /** Time after which the result of a command is reported as unknown. */
    commandMs: 8000,
  },
  store: {
    /** Timeout of a call. */
    timeoutMs: 1000,
    /** Maximum delay between two tries. */
    maxBackoffMs: 5000,
  },
  source: {
    /**
     * Time within which a change of the external configuration source is to be
     * in force at all daemons that reach each other. The times of its watch
     * follow from it.
     */
    applyMs: 2000,
  },
  tenants: {
    /**
     * Time after which an API key that a configuration removed is accepted by no
     * daemon, even if it can't learn of it; 0 if daemons may accept it until they
     * do.
     */
    revokeMs: 0,
    /** Length of any time window in which a quota holds. */
    quotaWindowMs: 5000,
    /** Share of a quota by which a window may exceed it. */
    quotaOverrun: 0.1,
    /** Requests by which a window may exceed a quota besides. */
    quotaSlack: 20,
  },
  announcements: {
    /** Time without an announcement after which a server counts as lost. */
    ttlMs: 2000,
    /** Time for which a server that shuts down gets requests for its slices. */
    leavingMs: 2000,
  },
  links: {
    /** Interval at which links are checked and heartbeats are sent. */
    heartbeatMs: 250,
    /**
     * Time without an expected frame after which a link is lost. Also the time
     * that a dispatch waits for its link to open, the timeout for connecting to
     * the backend server, and the minimum silence after which a run is aborted.
     */
    silenceMs: 1000,
    /** Time after which an idle link is closed. */
    unusedMs: 30000,
    /** Flow control window: unacknowledged bytes of one body. */
    windowBytes: 262144,
    /** Timeout for opening a link. */
    connectTimeoutMs: 1000,
    /**
     * Estimated size of a frame above which the next message starts another.
     */
    batchBytes: 262144,
    /** Bytes queued for one peer above which its link is dropped. */
    queueBytes: 16777216,
  },
  routing: {
    /** Maximum number of pending requests of a daemon's callers. */
    maxRequests: 8192,
    /** Maximum delay before the first retry; doubles with each attempt. */
    backoffMs: 10,
    /** Maximum delay before any retry. */
    maxBackoffMs: 250,
    /** Maximum number of attempts, without redirects and hedges. */
    maxAttempts: 12,
    /**
     * Time after the deadline for which a request still waits for reports of
     * its cancelled attempts.
     */
    graceMs: 250,
    /** Interval of inquiries about an attempt whose link was lost. */
    inquireMs: 250,
    /** Maximum balance of a daemon's retry budget. */
    retryBurst: 20,
    /** Maximum balance of all retry budgets together; 0 means no limit. */
    sharedRetryBurst: 0,
    /**
     * Redirects after rejections for want of room, as a share of the requests.
     */
    redirectShare: 0.1,
    /** Maximum number of such redirects beyond that share. */
    redirectBurst: 10,
    /** Minimum delay before a hedge. */
    minHedgeMs: 2,
    /** Half-life of an observed latency in the selection of a server. */
    latencyHalfLifeMs: 1000,
    /** Factor on the score of a server in another zone; lower scores win. */
    otherZoneFactor: 1.2,
    /** Maximum wait for an owner or a server; 0 means until the deadline. */
    waitMs: 0,
    /**
     * Share of a route's latency objective up to which its requests wait if that
     * is more than `waitMs`.
     */
    waitObjectiveShare: 0,
    /** Whether slow idempotent requests are also sent to a second server. */
    hedges: true,
  },
  execution: {
    /** Maximum number of attempts that wait or run at a daemon. */
    maxAttempts: 1024,
    /** Silence of a run after which its connection isn't reused. */
    silentRunMs: 1000,
    /** Whether a run that is silent for long is aborted before its deadline. */
    abortsSilentRuns: true,
    /** Time for which an outcome or tombstone of an attempt is kept. */
    outcomeMs: 10000,
    /** Time for which an outcome with an idempotency key is kept. */
    keyedOutcomeMs: 60000,
    /** Maximum number of outcomes and tombstones kept. */
    maxOutcomes: 50000,
    /**
     * Time for which an origin's watermark is kept: the highest number of its
     * attempts that were dropped from the history.
     */
    floorMs: 600000,
    /** Maximum size of a response kept for a replay, in bytes. */
    keptAnswerBytes: 65536,
    /** Maximum total size of the responses kept for replays, in bytes. */
    keptTotalBytes: 16777216,
  },
  admission: {
    /**
     * Completed runs that raise the limit by one, as a multiple of the limit.
     */
    growthCompletions: 10,
    /** Ratio of latency to its baseline from which the limit is lowered. */
    slowRatio: 2,
    /** Ratio of latency to its baseline from which the limit is reset to 1. */
    jumpRatio: 4,
    /** Factor by which `slowRatio` lowers the limit. */
    decrease: 0.8,
    /**
     * Maximum wait of interactive work under sustained overload: its queue has
     * not been empty for some time.
     */
    queueMs: 8,
    /** Maximum wait of interactive work while the limit grows after a reset. */
    rampQueueMs: 250,
    /**
     * Wait that keyed work is allowed at least while the limit grows, at a queue
     * that was empty within this time: only this server may run it.
     */
    burstQueueMs: 1000,
    /** Maximum wait of deferrable work in its queue. */
    deferrableQueueMs: 1000,
    /** Queue capacity of each priority, as a multiple of the slots. */
    queueFactor: 4,
    /** Maximum share of the limit that deferrable work may use. */
    deferrableShare: 0.25,
    /**
     * Maximum wait in the queue of a server that reports its cold start, as a
     * share of the route's latency objective.
     */
    objectiveShare: 0.25,
    /** Minimum of the wait that `objectiveShare` allows. */
    leastQueueMs: 150,
  },
  memory: {
    /** Memory of the machine that the process may use, in MB. */
    machineMb: 512,
    /**
     * Maximum number of open descriptors; 0 means what the system allows the
     * process. The lower of the two counts.
     */
    descriptors: 0,
  },
  logs: {
    level: 'info' as 'trace' | 'debug' | 'info' | 'warn' | 'error',
  },
};

/** Tuning values of all subsystems. */
export type Tuning = typeof DEFAULT_TUNING;
