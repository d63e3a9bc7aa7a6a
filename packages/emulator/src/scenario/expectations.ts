/** @fileoverview Checks of what a scenario expects. */

import type {ScenarioRun} from './state.js';
import type {StepArguments} from './types.js';
import type {Verdict} from '../ledger/types.js';
import type {CallRecord} from '../load/types.js';

import {sleep} from '../control/logic.js';
import {
  ExpectationError,
  liveHosts,
  fetchStatus,
  waitUntilServed,
} from '../deployment/operations.js';
import {verifyOutcomes} from '../ledger/logic.js';
import {longestUnserved} from '../load/logic.js';
import {requireCluster, requireHost} from './steps.js';

const POLL_INTERVAL_MS = 50;
const EXIT_SUCCESS = '0';

/**
 * Checks one expectation, or defers the check until the load has ended.
 *
 * @param run - Run of the scenario.
 * @param args - The expectation.
 * @param step - Index of the step, for messages.
 * @throws {ExpectationError} If it is checked now and not met.
 */
export async function checkExpectation(
  run: ScenarioRun,
  args: StepArguments<'expect'>,
  step: number,
): Promise<void> {
  if ('served' in args) {
    const named = args.through?.map(name => requireHost(run, name));
    const hosts = named ?? liveHosts(requireCluster(run));
    const leftMs = run.timedSinceMs + args.within - performance.now();
    await waitUntilServed(hosts, args.served, run.keys, leftMs);
  } else if ('configuration' in args) {
    await waitUntilInForce(run, run.timedSinceMs + args.within);
  } else if ('exited' in args) {
    await waitForExit(run, args.exited, run.timedSinceMs + args.within);
  } else if ('noWorkAt' in args) {
    const fromMs = run.timedSinceWallMs + args.after;
    const untilMs = {value: Number.POSITIVE_INFINITY};
    run.noWorkPeriodEnds.push(untilMs);
    run.deferred.push({
      step,
      check: () => findWorkBetween(run, args.noWorkAt, fromMs, untilMs.value),
    });
  } else {
    run.deferred.push({step, check: () => checkRecords(run, args)});
  }
}

/**
 * Compares the records of callers with the records of backend servers.
 *
 * @param run - Run of the scenario, after its load has ended.
 * @returns Counts and violations.
 */
export function verifyRun(run: ScenarioRun): Verdict {
  const {serverRecords, killedServers} = requireCluster(run);
  const {hung, relapse} = run.scenario.allow;
  return verifyOutcomes(callRecordsOf(run), serverRecords, killedServers, {
    hung,
    relapseMs: relapse,
  });
}

/**
 * Lists the records of callers so far.
 *
 * @param run - Run of the scenario.
 * @returns The records of all its loads.
 */
export function callRecordsOf(run: ScenarioRun): CallRecord[] {
  return run.loads.flatMap(load => load.records);
}

/**
 * Waits until all live daemons have the configuration that was accepted last.
 */
async function waitUntilInForce(
  run: ScenarioRun,
  untilMs: number,
): Promise<void> {
  for (;;) {
    const behind: string[] = [];
    for (const host of liveHosts(requireCluster(run))) {
      const status = await fetchStatus(host);
      const number = status?.ownership.configuration ?? 0;
      if (number < run.configuration) behind.push(host.plan.host);
    }
    if (behind.length === 0) return;
    if (performance.now() > untilMs) {
      const number = run.configuration;
      const names = behind.join(', ');
      throw new ExpectationError(`configuration ${number} not at ${names}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Waits until a daemon has exited with code 0. */
async function waitForExit(
  run: ScenarioRun,
  name: string,
  untilMs: number,
): Promise<void> {
  const {daemon} = requireHost(run, name);
  const leftMs = Math.max(0, untilMs - performance.now());
  const timeout = sleep(leftMs).then(() => 'still running');
  const exit = await Promise.race([daemon?.exited ?? 'not started', timeout]);
  if (exit !== EXIT_SUCCESS) {
    throw new ExpectationError(`daemon ${name}: ${exit}`);
  }
}

/** Describes the runs that hosts began in a period; null if there are none. */
function findWorkBetween(
  run: ScenarioRun,
  names: readonly string[],
  fromMs: number,
  untilMs: number,
): string | null {
  const runs = requireCluster(run).serverRecords.filter(
    record =>
      record.kind === 'run' &&
      names.includes(record.host) &&
      record.startMs > fromMs &&
      record.startMs < untilMs,
  );
  if (runs.length === 0) return null;
  return `${runs.length} runs began at ${names.join(', ')}`;
}

/**
 * Checks an expectation on callers' records; returns what is wrong, or null.
 */
function checkRecords(
  run: ScenarioRun,
  args: Exclude<
    StepArguments<'expect'>,
    | {served: string[]}
    | {configuration: 'in force'}
    | {exited: string}
    | {noWorkAt: string[]}
  >,
): string | null {
  const records = callRecordsOf(run);
  if ('unservedAtMost' in args) {
    const {ms, key} = longestUnserved(records);
    if (ms <= args.unservedAtMost) return null;
    return `${key} unserved for ${ms} ms, over ${args.unservedAtMost} ms`;
  }
  if ('outcome' in args) {
    const ended = records.filter(record => record.outcome === args.outcome);
    if (ended.length <= args.atMost) return null;
    const detail = `${ended[0]?.detail} via ${ended[0]?.target}`;
    return `${ended.length} ${args.outcome}, over ${args.atMost}: ${detail}`;
  }
  const done = records.filter(record => record.outcome === 'done').length;
  const share = done / Math.max(1, records.length);
  if (share >= args.doneAtLeast) return null;
  return `${done} of ${records.length} done, under ${args.doneAtLeast}`;
}
