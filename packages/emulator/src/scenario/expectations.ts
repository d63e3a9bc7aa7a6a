/** @fileoverview What a scenario may expect, and how it is judged. */

import type {Stage} from './state.js';
import type {Says} from './types.js';
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
import {clusterOf, hostOf} from './steps.js';

const STEP_MS = 50;
const SUCCESS = '0';

/**
 * Judges one expectation, at once or after the load.
 *
 * @param stage - The scenario under way.
 * @param says - The expectation.
 * @param step - Index of the step, for messages.
 * @throws {ExpectationError} When it is not met.
 */
export async function expect(
  stage: Stage,
  says: Says<'expect'>,
  step: number,
): Promise<void> {
  if ('served' in says) {
    const asked = says.through?.map(name => hostOf(stage, name));
    const hosts = asked ?? liveHosts(clusterOf(stage));
    const leftMs = stage.markMs + says.within - performance.now();
    await waitUntilServed(hosts, says.served, stage.keys, leftMs);
  } else if ('configuration' in says) {
    await untilInForce(stage, stage.markMs + says.within);
  } else if ('exited' in says) {
    await untilExited(stage, says.exited, stage.markMs + says.within);
  } else if ('noWorkAt' in says) {
    const fromMs = stage.markWallMs + says.after;
    const untilMs = {value: Number.POSITIVE_INFINITY};
    stage.idle.push(untilMs);
    stage.later.push({
      step,
      judge: () => workBetween(stage, says.noWorkAt, fromMs, untilMs.value),
    });
  } else {
    stage.later.push({step, judge: () => judgeRecords(stage, says)});
  }
}

/**
 * Joins callers' records with servers' notes.
 *
 * @param stage - The scenario, after its load has ended.
 * @returns Counts and violations.
 */
export function ledgerOf(stage: Stage): Verdict {
  const {notes, killedServers: deaths} = clusterOf(stage);
  const {hung, relapse} = stage.scenario.allow;
  return verifyOutcomes(recordsOf(stage), notes, deaths, {
    hung,
    relapseMs: relapse,
  });
}

/**
 * Lists what callers saw so far.
 *
 * @param stage - The scenario.
 * @returns Records of all its loads.
 */
export function recordsOf(stage: Stage): CallRecord[] {
  return stage.loads.flatMap(load => load.records);
}

async function untilInForce(stage: Stage, untilMs: number): Promise<void> {
  for (;;) {
    const behind: string[] = [];
    for (const host of liveHosts(clusterOf(stage))) {
      const status = await fetchStatus(host);
      const number = status?.ownership.configuration ?? 0;
      if (number < stage.configuration) behind.push(host.plan.host);
    }
    if (behind.length === 0) return;
    if (performance.now() > untilMs) {
      const number = stage.configuration;
      const names = behind.join(', ');
      throw new ExpectationError(`configuration ${number} not at ${names}`);
    }
    await sleep(STEP_MS);
  }
}

async function untilExited(
  stage: Stage,
  name: string,
  untilMs: number,
): Promise<void> {
  const {daemon} = hostOf(stage, name);
  const leftMs = Math.max(0, untilMs - performance.now());
  const late = sleep(leftMs).then(() => 'still running');
  const exit = await Promise.race([daemon?.exited ?? 'not started', late]);
  if (exit !== SUCCESS) throw new ExpectationError(`daemon ${name}: ${exit}`);
}

function workBetween(
  stage: Stage,
  names: readonly string[],
  fromMs: number,
  untilMs: number,
): string | null {
  const late = clusterOf(stage).notes.filter(
    note =>
      note.kind === 'run' &&
      names.includes(note.host) &&
      note.startMs > fromMs &&
      note.startMs < untilMs,
  );
  if (late.length === 0) return null;
  return `${late.length} runs began at ${names.join(', ')}`;
}

function judgeRecords(
  stage: Stage,
  says: Exclude<
    Says<'expect'>,
    | {served: string[]}
    | {configuration: 'in force'}
    | {exited: string}
    | {noWorkAt: string[]}
  >,
): string | null {
  const records = recordsOf(stage);
  if ('unservedAtMost' in says) {
    const {ms, key} = longestUnserved(records);
    if (ms <= says.unservedAtMost) return null;
    return `${key} unserved for ${ms} ms, over ${says.unservedAtMost} ms`;
  }
  if ('outcome' in says) {
    const ended = records.filter(record => record.outcome === says.outcome);
    if (ended.length <= says.atMost) return null;
    const detail = `${ended[0]?.detail} via ${ended[0]?.target}`;
    return `${ended.length} ${says.outcome}, over ${says.atMost}: ${detail}`;
  }
  const done = records.filter(record => record.outcome === 'done').length;
  const share = done / Math.max(1, records.length);
  if (share >= says.doneAtLeast) return null;
  return `${done} of ${records.length} done, under ${says.doneAtLeast}`;
}
