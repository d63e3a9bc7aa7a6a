/**
 * @fileoverview Observes the queue of connections that wait to be accepted. The
 * event loop accepts one connection in each iteration, so a loop with long
 * iterations falls behind although it is never idle.
 */

/** Maximum number of connections that wait to be accepted. */
export const ACCEPT_QUEUE_LENGTH = 64;
/** Wait in a full queue from which new connections are not accepted in time. */
const MAX_WAIT_MS = 1000;

/** Sources of time; replaceable for tests. */
export interface AcceptQueueSources {
  /** Monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Calls back at the end of the current iteration of the event loop. */
  readonly atIterationEnd: (callback: () => void) => void;
}

const PROCESS_SOURCES: AcceptQueueSources = {
  now: () => performance.now(),
  atIterationEnd: callback => void setImmediate(callback),
};

/** Estimates how long a new connection waits until it is accepted. */
export class AcceptQueue {
  /** Times of the latest accepts, each in the iteration after the previous. */
  private readonly streak: number[] = [];
  private accepted = 0;

  /** @param sources - Sources of time. */
  constructor(private readonly sources: AcceptQueueSources = PROCESS_SOURCES) {}

  /** Records that a connection was accepted. */
  recordAccept(): void {
    const {now, atIterationEnd} = this.sources;
    this.accepted += 1;
    this.streak.push(now());
    if (this.streak.length > ACCEPT_QUEUE_LENGTH + 1) this.streak.shift();
    const count = this.accepted;
    // An iteration without an accept shows that the queue is empty.
    atIterationEnd(() =>
      atIterationEnd(() => {
        if (this.accepted === count) this.streak.length = 0;
      }),
    );
  }

  /** @returns The number of connections accepted so far. */
  get acceptedCount(): number {
    return this.accepted;
  }

  /**
   * @returns Whether the queue may be full and a connection that enters it then
   *     waits too long.
   */
  get isBehind(): boolean {
    const [first] = this.streak;
    if (this.streak.length <= ACCEPT_QUEUE_LENGTH) return false;
    return this.sources.now() - first >= MAX_WAIT_MS;
  }
}
