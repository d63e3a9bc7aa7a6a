/**
 * @fileoverview Signals that the process receives. The system's default action
 * ends the process, so each signal that asks for something else needs a listener
 * for the whole life of the process. This module has no imports, so that a program
 * can handle signals before it loads the rest.
 */

/** What the sender of a signal requests, and the signal. */
export type ReceivedSignal =
  | {readonly request: 'stop'; readonly name: 'SIGTERM' | 'SIGINT'}
  | {readonly request: 'reload'; readonly name: 'SIGHUP'};

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
const RELOAD: ReceivedSignal = {request: 'reload', name: 'SIGHUP'};

/** Emits an event with the name of each signal, like `process`. */
export interface SignalSource {
  on(name: ReceivedSignal['name'], listener: () => void): unknown;
}

/** Passes the signals of a process on to what runs in it. */
export class ProcessSignals {
  private handler: ((signal: ReceivedSignal) => void) | null = null;
  private reloadPending = false;

  /**
   * Until a handler is set the process has opened nothing, so the default action
   * of the signals that request a stop is the right one.
   *
   * @param source - Source of the signals.
   */
  constructor(private readonly source: SignalSource = process) {
    source.on(RELOAD.name, () => this.receiveReload());
  }

  /**
   * Sets the handler of all signals until the process ends. It also gets a
   * request to reload that arrived before.
   *
   * @param handler - Called with each signal.
   */
  handle(handler: (signal: ReceivedSignal) => void): void {
    this.handler = handler;
    for (const name of STOP_SIGNALS) {
      this.source.on(name, () => handler({request: 'stop', name}));
    }
    if (this.reloadPending) handler(RELOAD);
  }

  private receiveReload(): void {
    if (this.handler === null) this.reloadPending = true;
    else this.handler(RELOAD);
  }
}
