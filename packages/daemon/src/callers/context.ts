/** @fileoverview What the front end for callers depends on. */

import type {
  AttemptId,
  Event,
  LogEventName,
  MemberId,
  MemoryBudget,
  Message,
  RequestId,
  Router,
  TenantDirectory,
  Version,
  Workspace,
} from '@jackdawfall/core';

import type {CallerProtocol} from '../adapters/types.js';
import type {LogFields} from '../logs/types.js';
import type {BodyRefusal} from './body.js';

/** A workspace configuration with its compiled routes. */
export interface CompiledConfiguration {
  readonly workspace: Workspace;
  readonly router: Router;
  readonly tenants: TenantDirectory;
}

/** Dependencies of the front end. */
export interface CallerContext {
  emit(event: Event): void;
  /** Sends a message to a member, which may be this daemon itself. */
  transmit(to: MemberId, message: Message): void;
  log(event: LogEventName, fields: LogFields): void;
  /** Called for each accepted connection. */
  onConnection(): void;
  /** Called for each body that is not read to its end. */
  onBodyRefused(refusal: BodyRefusal): void;
  /** Called when connections are closed to make room for others. */
  onConnectionsClosed(reason: string, count: number): void;
  /** Called each tick with the time by which its timer was late. */
  onLoopLag(lagMs: number): void;
  /** The configuration in force, or null if there was none so far. */
  configuration(): CompiledConfiguration | null;
  /** Why the newest configuration is invalid, or null if it is valid. */
  configurationFault(): string | null;
  /** Whether API keys are accepted; see `acceptsApiKeys` of the core. */
  acceptsApiKeys(): boolean;
  readonly protocol: CallerProtocol;
  /** Memory budget of the process. */
  readonly budget: MemoryBudget;
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /** Maximum of all heads that wait behind earlier requests, in bytes. */
  readonly maxPipelinedBytes: number;
  /** Flow-control window of one body, in bytes. */
  readonly windowBytes: number;
  /** Interval between calls of `tick`, in milliseconds. */
  readonly tickMs: number;
  /** Prefix that makes the request ids of this process globally unique. */
  readonly idPrefix: string;
}

/** An attempt to send to the member that is to run it. */
export interface OutgoingAttempt {
  readonly attempt: AttemptId;
  readonly request: RequestId;
  readonly to: MemberId;
  readonly budgetMs: number;
  readonly version: Version;
}
