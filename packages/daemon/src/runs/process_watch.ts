/**
 * @fileoverview Knows which connections lead to the process that announced
 * itself. The connections of a process end with it, so while an idle one that was
 * opened in its life is open, it is alive, and new connections to its address
 * reach it and not a successor.
 */

import type {Socket} from 'node:net';

/** Age after which the idle connection is replaced, before it times out. */
const IDLE_MAX_AGE_MS = 4000;

/** What a watch needs from the pool. */
export interface ProcessWatchOptions {
  /** Opens a connection to the server, apart from those of requests. */
  connect(): Socket;
  /**
   * Called when nothing listens at the server's address.
   *
   * @param isAlive - Whether its process is known to be alive nevertheless.
   */
  onRefused(isAlive: boolean): void;
}

/** Watches the process of a backend server by the connections to it. */
export class ProcessWatch {
  /** Connections that lead to the announced process and haven't ended. */
  private readonly verified = new Set<Socket>();
  /** Connection without requests, so that one is always open. */
  private idle: Socket | null = null;
  private idleOpenedMs = 0;
  /** All connections that the watch opened and that aren't closed. */
  private readonly own = new Set<Socket>();

  /** @param options - What the watch needs from the pool. */
  constructor(private readonly options: ProcessWatchOptions) {}

  /** Records that the process has announced itself, so it was just alive. */
  confirm(): void {
    const previous = this.idle;
    const ageMs = performance.now() - this.idleOpenedMs;
    const isUsable =
      previous !== null && (previous.connecting || this.reaches(previous));
    if (isUsable && ageMs < IDLE_MAX_AGE_MS) return;
    const idle = this.options.connect();
    this.idle = idle;
    this.idleOpenedMs = performance.now();
    this.own.add(idle);
    idle.unref().resume();
    this.follow(idle, !this.isAlive, () => previous?.destroy());
    idle.once('close', () => {
      this.own.delete(idle);
      if (this.idle === idle) this.idle = null;
    });
  }

  /**
   * Follows a connection that is being opened. It proves nothing about others,
   * since its end isn't read while a response waits for its receiver.
   *
   * @param socket - The connection.
   */
  track(socket: Socket): void {
    this.follow(socket, false, () => undefined);
  }

  /**
   * Reports a connection that is refused.
   *
   * @param socket - A connection that is being opened.
   */
  watchRefusal(socket: Socket): void {
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code !== 'ECONNREFUSED') return;
      setImmediate(() => this.options.onRefused(this.isAlive));
    });
  }

  /**
   * Returns whether a connection leads to the announced process.
   *
   * @param socket - The connection, or null if there is none.
   * @returns False if it may lead to a successor.
   */
  reaches(socket: Socket | null): boolean {
    return socket !== null && !socket.destroyed && this.verified.has(socket);
  }

  /** @returns Whether that may be known as soon as a connection opens. */
  get isOpening(): boolean {
    return this.idle?.connecting === true;
  }

  /** @returns Whether the process is known to be alive. */
  get isAlive(): boolean {
    return [...this.own].some(socket => this.reaches(socket));
  }

  /** Closes the watch's own connections. */
  close(): void {
    for (const socket of this.own) socket.destroy();
  }

  private follow(
    socket: Socket,
    wasJustAnnounced: boolean,
    onVerified: () => void,
  ): void {
    const forget = (): void => void this.verified.delete(socket);
    socket.once('connect', () => {
      // The ends of earlier connections that are known by now come first.
      setImmediate(() => {
        if (!wasJustAnnounced && !this.isAlive) return;
        this.verified.add(socket);
        onVerified();
      });
    });
    socket.once('end', forget);
    socket.once('close', forget);
    this.watchRefusal(socket);
  }
}
