/**
 * @fileoverview Runs attempts at the local backend server and sends the
 * responses to the daemons that the attempts came from.
 */

import type {IncomingMessage} from 'node:http';

import {NO_VERSION, originOf} from '@jackdawfall/core';
import type {
  Announcement,
  AttemptId,
  Dispatch,
  Effect,
  MemberId,
  RunState,
  SliceGrant,
} from '@jackdawfall/core';

import {ByteQueue} from '../http/byte_blocks.js';
import {
  areValidHeaders,
  endToEndHeaders,
  isFinalStatus,
} from '../http/headers.js';
import type {AttemptMessage} from '../links/messages.js';
import type {GrantOutcome} from '../adapters/types.js';
import {
  discardBody,
  hasExcessBytes,
  limitInformational,
} from './excess_bytes.js';
import {RunBodies, framingOf} from './bodies.js';
import {KeptResponses} from './kept.js';
import {endsAtConnectionClose, waitForCleanClose} from './connection_close.js';
import {ServerConnectionPool} from './connections.js';
import {toGrantEvent} from './grants.js';
import type {
  ReceivedAttempt,
  Run,
  RunExecutorContext,
  ResponseStream,
} from './types.js';

const NO_BYTES = new Uint8Array(0);
const BODY_LOST = 'the link was lost before the end of the body';
const BODY_DROPPED = 'no memory for the body';

/** Executes the attempts that were sent to this daemon. */
export class RunExecutor {
  private readonly attempts = new Map<AttemptId, ReceivedAttempt>();
  /** Attempts that are running at the backend server. */
  private readonly active = new Set<ReceivedAttempt>();
  private connections: ServerConnectionPool | null = null;
  private announcement: Announcement | null = null;
  private readonly keptResponses: KeptResponses;
  private readonly bodies: RunBodies;

  /** @param context - Dependencies. */
  constructor(private readonly context: RunExecutorContext) {
    this.keptResponses = new KeptResponses(context.keptLimits);
    this.bodies = new RunBodies(context);
  }

  /**
   * Sets the backend server. Its connections are replaced unless its address
   * and instance are unchanged.
   *
   * @param announcement - The server's announcement, or null if there is none now.
   */
  setServer(announcement: Announcement | null): void {
    this.announcement = announcement;
    if (announcement === null) {
      // Its process may still be alive, and only its connections tell.
      this.connections?.useNewConnections();
      return;
    }
    if (this.connections?.serves(announcement) !== true) {
      this.connections?.retire();
      this.connections = new ServerConnectionPool(announcement, isAlive =>
        this.context.onServerUnreachable(announcement, isAlive),
      );
    }
    this.connections.resize(announcement.connections);
    if (announcement.checksGrants) this.connections.confirmProcess();
  }

  /**
   * Handles a message about an attempt that this daemon runs.
   *
   * @param from - The daemon that sent the message.
   * @param message - The message.
   */
  receive(from: MemberId, message: AttemptMessage): void {
    switch (message.kind) {
      case 'dispatch':
        this.handleDispatch(from, message);
        return;
      case 'body':
        this.handleBody(from, message.attempt, message.bytes, message.ends);
        return;
      case 'credit':
        this.handleCredit(from, message.attempt, message.bytes);
        return;
    }
  }

  /**
   * Handles the loss of the link with another daemon. Its attempts whose bodies
   * haven't ended are not run: a part of the body may have been lost.
   *
   * @param peer - The daemon.
   */
  handleLinkLost(peer: MemberId): void {
    for (const received of this.attempts.values()) {
      if (received.bodyEnded || originOf(received.attempt) !== peer) continue;
      received.bodyLost = true;
      const {run} = received;
      run?.outgoing.destroy(new Error(BODY_LOST));
    }
  }

  /**
   * Starts to run an attempt at the backend server.
   *
   * @param effect - The attempt, its fencing token and its time budget.
   */
  run(effect: Extract<Effect, {kind: 'run'}>): void {
    const received = this.attempts.get(effect.attempt);
    if (received === undefined) {
      this.reportFailed(effect.attempt, 'not-run', 'no backend server');
      return;
    }
    const {run, ended, startScheduled} = received;
    if (run !== null || ended || startScheduled) return;
    received.startScheduled = true;
    if (effect.keepResponse) this.keptResponses.start(received);
    const {attempt, origin} = effect;
    const credit = this.context.windowBytes;
    received.streams = [{attempt, to: origin, credit}];
    // Lets a cancellation that has arrived by now take effect first.
    setImmediate(() => this.begin(received, effect));
  }

  private begin(
    received: ReceivedAttempt,
    effect: Extract<Effect, {kind: 'run'}>,
  ): void {
    if (!received.startScheduled) return;
    received.startScheduled = false;
    if (received.bodyLost) {
      this.reportFailed(effect.attempt, 'not-run', BODY_LOST);
      return;
    }
    if (received.bodyDropped) {
      this.reportFailed(effect.attempt, 'not-run', BODY_DROPPED);
      return;
    }
    const {announcement, connections} = this;
    if (announcement === null || connections === null) {
      this.reportFailed(effect.attempt, 'not-run', 'no backend server');
      return;
    }
    const {budgetMs} = effect;
    const outgoing = connections.open({
      method: received.dispatch.method,
      path: received.dispatch.path,
      headers: {
        ...this.context.protocol.headersOf(
          received.dispatch,
          effect,
          announcement,
        ),
        ...framingOf(received),
      },
    });
    const run: Run = {
      outgoing,
      incoming: null,
      written: false,
      finished: false,
      lastActivityMs: performance.now(),
      expiresMs: performance.now() + budgetMs,
      bytesReadBefore: 0,
      bodyBytes: 0,
    };
    received.run = run;
    this.active.add(received);
    this.subscribe(received, run);
    this.bodies.write(received);
  }

  /**
   * Cancels an attempt by closing its connection to the backend server.
   *
   * @param attempt - The attempt.
   */
  cancel(attempt: AttemptId): void {
    const received = this.attempts.get(attempt);
    if (received !== undefined) received.startScheduled = false;
    const run = received?.run ?? null;
    if (received === undefined || run === null) return;
    this.finishRun(received, run);
    run.outgoing.destroy();
    this.keptResponses.drop(received);
  }

  /**
   * Sends a kept response again from its start. If it isn't complete yet, the
   * rest follows as it arrives.
   *
   * @param effect - The original attempt, the attempt that replays its
   *     response, and the recipient.
   */
  replayResponse(effect: Extract<Effect, {kind: 'replayResponse'}>): void {
    const {attempt, original, to} = effect;
    const received = this.attempts.get(original);
    const kept = received?.kept ?? null;
    if (received === undefined || kept === null) {
      this.sendNotKept(attempt, to);
      return;
    }
    const credit = this.context.windowBytes - kept.bytes;
    const stream: ResponseStream = {attempt, to, credit};
    const others = received.streams.filter(each => each.attempt !== attempt);
    received.streams = [...others, stream];
    if (kept.head === null) return;
    this.context.transmit(to, {kind: 'head', attempt, ...kept.head});
    for (const bytes of kept.chunks) {
      this.context.transmit(to, {kind: 'data', attempt, bytes});
    }
    if (kept.complete) this.sendEnd(received, stream);
  }

  /**
   * Drops an attempt and its kept response.
   *
   * @param attempt - The attempt.
   */
  discardAttempt(attempt: AttemptId): void {
    const received = this.attempts.get(attempt);
    if (received === undefined) return;
    received.startScheduled = false;
    this.keptResponses.drop(received);
    this.attempts.delete(attempt);
  }

  /** Aborts expired runs and, if a run is inactive, uses new connections. */
  tick(): void {
    const now = performance.now();
    let hasInactiveRun = false;
    for (const {run} of [...this.active]) {
      if (run === null) continue;
      if (now >= run.expiresMs) run.outgoing.destroy(new Error('time is over'));
      else if (hasExcessBytes(run)) {
        run.outgoing.destroy(new Error('too many bytes besides the body'));
      }
      if (now - run.lastActivityMs < this.context.silentRunMs) continue;
      run.lastActivityMs = now;
      hasInactiveRun = true;
    }
    if (hasInactiveRun) this.connections?.useNewConnections();
    this.bodies.countWaiting(this.attempts.values());
  }

  /**
   * Sends slice grants to the backend server.
   *
   * @param effect - The grants with their fencing tokens, and the lease's end.
   */
  grantSlices(effect: Extract<Effect, {kind: 'grantSlices'}>): void {
    if (this.connections === null) return;
    const server = this.announcement;
    const report = (grant: SliceGrant, outcome: GrantOutcome): void => {
      if (this.announcement?.instance !== server?.instance) return;
      this.context.emit(toGrantEvent(effect, grant, outcome));
    };
    if (this.connections.mayReachProcess()) {
      this.context.protocol.grant(this.connections, effect, report);
    } else {
      for (const grant of effect.grants) report(grant, 'not-written');
    }
  }

  /**
   * Asks the backend server to release slices.
   *
   * @param effect - The grants to release.
   */
  releaseSlices(effect: Extract<Effect, {kind: 'releaseSlices'}>): void {
    if (this.connections === null) return;
    const {service, round} = effect;
    const server = this.announcement;
    this.context.protocol.release(
      this.connections,
      effect,
      (grant, handover) => {
        if (this.announcement?.instance !== server?.instance) return;
        this.context.emit({
          kind: 'slicesReleased',
          service,
          grant,
          round,
          handover,
        });
      },
    );
  }

  /** @returns The number of attempts running at the backend server. */
  get activeCount(): number {
    return this.active.size;
  }

  private handleDispatch(from: MemberId, dispatch: Dispatch): void {
    if (originOf(dispatch.attempt) !== from) return;
    if (this.attempts.has(dispatch.attempt)) return;
    const received: ReceivedAttempt = {
      attempt: dispatch.attempt,
      // The body is kept apart, until it is written.
      dispatch: {...dispatch, body: NO_BYTES},
      unwritten: new ByteQueue(),
      bodyDropped: false,
      bodyEnded: dispatch.bodyEnds,
      bodyLost: false,
      startScheduled: false,
      run: null,
      ended: false,
      streams: [],
      kept: null,
    };
    this.attempts.set(dispatch.attempt, received);
    this.bodies.hold(received, dispatch.body);
  }

  private handleBody(
    from: MemberId,
    attempt: AttemptId,
    bytes: Uint8Array,
    ends: boolean,
  ): void {
    const received = this.attempts.get(attempt);
    if (received === undefined || originOf(attempt) !== from) return;
    if (received.bodyLost || received.bodyDropped || received.ended) return;
    this.bodies.hold(received, bytes);
    received.bodyEnded = ends;
    this.bodies.write(received);
  }

  private handleCredit(
    from: MemberId,
    attempt: AttemptId,
    bytes: number,
  ): void {
    for (const received of this.active) {
      const stream = received.streams.find(each => each.attempt === attempt);
      if (stream?.to !== from) continue;
      stream.credit += bytes;
      if (hasCredit(received)) received.run?.incoming?.resume();
      return;
    }
  }

  private subscribe(received: ReceivedAttempt, run: Run): void {
    const {outgoing} = run;
    limitInformational(outgoing);
    outgoing.on('socket', socket => {
      run.bytesReadBefore = socket.bytesRead;
      if (!socket.connecting) {
        this.markWritten(received, run);
        return;
      }
      const late = setTimeout(
        () => outgoing.destroy(new Error('connection timed out')),
        this.context.silenceMs,
      );
      socket.once('close', () => clearTimeout(late));
      socket.once('connect', () => {
        clearTimeout(late);
        const {service, slice} = received.dispatch;
        if (this.context.mayWrite(service, slice)) {
          this.markWritten(received, run);
        } else {
          // Stands for every denial, also of a slice that moves or has another
          // owner. The run fails as `not-run`, which execution reports as
          // `server-lost`, or as `deadline-exceeded` if late. A denial that
          // execution itself finds keeps its kind.
          outgoing.destroy(new Error('the lease ended meanwhile'));
        }
      });
    });
    outgoing.on('response', incoming =>
      this.handleResponse(received, run, incoming),
    );
    outgoing.on('error', error => {
      // Bytes after a complete response don't belong to it.
      if (run.incoming?.complete === true) return;
      this.failRun(received, run, error.message);
    });
  }

  /** Records that the server may have received the request from now on. */
  private markWritten(received: ReceivedAttempt, run: Run): void {
    if (run.written || run.finished) return;
    run.written = true;
    this.context.emit({kind: 'runWriteStarting', attempt: received.attempt});
  }

  private handleResponse(
    received: ReceivedAttempt,
    run: Run,
    incoming: IncomingMessage,
  ): void {
    if (run.finished) return;
    run.incoming = incoming;
    run.lastActivityMs = performance.now();
    const {attempt} = received;
    const status = incoming.statusCode ?? 0;
    const headers = endToEndHeaders(incoming.headers);
    if (!isFinalStatus(status) || !areValidHeaders(headers)) {
      run.outgoing.destroy();
      this.failRun(received, run, `invalid response with status ${status}`);
      return;
    }
    const responseVerdict = this.context.protocol.classifyResponse(
      received.dispatch,
      incoming,
      run.outgoing.reusedSocket,
    );
    if (responseVerdict === 'foreign') {
      run.outgoing.destroy();
      this.failRun(received, run, 'the answer belongs to another request');
      return;
    }
    const refused = responseVerdict === 'refused';
    incoming.on('error', error => this.failRun(received, run, error.message));
    incoming.on('close', () => {
      if (!incoming.complete) this.failRun(received, run, 'answer cut short');
    });
    if (refused) {
      // A late copy of this refusal would look like one of the next attempt
      // for the same request.
      if (!received.dispatch.idempotent) run.outgoing.shouldKeepAlive = false;
      discardBody(run.outgoing, incoming);
      this.finishRun(received, run);
      this.context.emit({kind: 'runHeadReceived', attempt, status, refused});
      return;
    }
    const head = {status, headers};
    this.keptResponses.head(received, head);
    this.context.emit({kind: 'runHeadReceived', attempt, status, refused});
    for (const stream of received.streams) {
      const message = {kind: 'head' as const, attempt: stream.attempt, ...head};
      this.context.transmit(stream.to, message);
    }
    incoming.on('data', (bytes: Buffer) =>
      this.handleData(received, run, bytes),
    );
    if (!endsAtConnectionClose(incoming)) {
      incoming.on('end', () => this.end(received, run));
      return;
    }
    const cleanClose = waitForCleanClose(incoming);
    incoming.on('end', () => {
      void cleanClose.then(closedCleanly => {
        if (closedCleanly) this.end(received, run);
        else this.failRun(received, run, 'reset before the end of the answer');
      });
    });
  }

  private handleData(received: ReceivedAttempt, run: Run, bytes: Buffer): void {
    if (run.finished) return;
    run.lastActivityMs = performance.now();
    run.bodyBytes += bytes.length;
    for (const stream of received.streams) {
      const {attempt, to} = stream;
      stream.credit -= bytes.length;
      this.context.transmit(to, {kind: 'data', attempt, bytes});
    }
    this.keptResponses.data(received, bytes);
    if (!hasCredit(received)) run.incoming?.pause();
  }

  private end(received: ReceivedAttempt, run: Run): void {
    if (run.finished || run.incoming?.complete !== true) return;
    this.finishRun(received, run);
    this.keptResponses.end(received);
    this.context.emit({kind: 'runEnded', attempt: received.attempt});
    for (const stream of received.streams) this.sendEnd(received, stream);
  }

  private sendEnd(received: ReceivedAttempt, stream: ResponseStream): void {
    const {attempt, to} = stream;
    this.context.transmit(to, {
      kind: 'end',
      attempt,
      outstanding: this.activeCount,
      ...this.context.workReport(received.dispatch),
    });
  }

  private sendNotKept(attempt: AttemptId, to: MemberId): void {
    this.context.transmit(to, {
      kind: 'failed',
      attempt,
      error: 'link-lost',
      run: 'unknown',
      detail: 'the answer was not kept',
      owner: null,
      version: NO_VERSION,
      outstanding: this.activeCount,
      workMs: 0,
    });
  }

  /** Reports the outcome as `not-run` only if nothing was written. */
  private failRun(received: ReceivedAttempt, run: Run, detail: string): void {
    if (run.finished) return;
    this.finishRun(received, run);
    const state = run.written ? 'unknown' : 'not-run';
    this.reportFailed(received.attempt, state, detail);
  }

  /**
   * Marks the run as over, so that later events of it have no effect. The head
   * and the connection of the request are released, since an attempt is kept for
   * some time so that it isn't run again.
   */
  private finishRun(received: ReceivedAttempt, run: Run): void {
    run.finished = true;
    this.active.delete(received);
    received.run = null;
    received.ended = true;
    received.unwritten.clear();
    received.dispatch = {...received.dispatch, path: '', headers: []};
  }

  private reportFailed(
    attempt: AttemptId,
    run: RunState,
    detail: string,
  ): void {
    this.context.emit({kind: 'runFailed', attempt, run, detail});
  }
}

/** Whether every receiver of the response has flow-control credit. */
function hasCredit(received: ReceivedAttempt): boolean {
  return received.streams.every(stream => stream.credit > 0);
}
