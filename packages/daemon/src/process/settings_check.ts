/** @fileoverview Checks on request whether the settings file has changed. */

import type {LogFields} from '../logs/types.js';

/**
 * Checks the settings again. Requests during a check lead to one more check
 * after it, as the file may have changed after it was read.
 */
export class SettingsCheck {
  private running = false;
  private requested = false;

  /**
   * @param hasChanged - Reads the settings and returns whether they differ from
   *     those in use.
   * @param report - Receives the result of each check.
   */
  constructor(
    private readonly hasChanged: () => Promise<boolean>,
    private readonly report: (fields: LogFields) => void,
  ) {}

  /** Requests a check. */
  request(): void {
    this.requested = true;
    if (!this.running) void this.run();
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.requested) {
      this.requested = false;
      this.report(await this.check());
    }
    this.running = false;
  }

  private async check(): Promise<LogFields> {
    try {
      return {changed: await this.hasChanged()};
    } catch (error) {
      return {detail: String(error)};
    }
  }
}
