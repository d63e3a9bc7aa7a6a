/** @fileoverview Runs one scenario with real processes. */

import type {ScenarioRun} from './state.js';
import type {ScenarioResult, Scenario, Step} from './types.js';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';

import {sleep} from '../control/logic.js';
import {checkExpectation, verifyRun, callRecordsOf} from './expectations.js';
import {countFailureReasons} from '../load/logic.js';
import {createScenarioRun} from './state.js';
import * as steps from './steps.js';

/** Steps from which times of expectations are counted. */
const TIMED_STEPS = new Set<Step['name']>([
  'kill',
  'freeze',
  'wake',
  'cut',
  'silence',
  'heal',
  'store',
  'apply',
  'zone',
  'stop',
  'cold',
  'restart',
]);

/**
 * Runs a scenario, then ends all its processes.
 *
 * @param scenario - The scenario.
 * @param signal - Ends the run early.
 * @param logFolder - Existing folder for the logs of the daemons; absent to
 *     keep none.
 * @returns The result.
 */
export async function runScenario(
  scenario: Scenario,
  signal: AbortSignal,
  logFolder?: string,
): Promise<ScenarioResult> {
  const startMs = performance.now();
  const ending = new AbortController();
  const limit = AbortSignal.timeout(scenario.timeoutMs);
  const stopped = AbortSignal.any([signal, limit, ending.signal]);
  const run = createScenarioRun(scenario, stopped, logFolder);
  let ledger: ScenarioResult['ledger'] = null;
  try {
    await Promise.race([runSteps(run), rejectOnAbort(stopped)]);
    ledger = verifyRun(run);
    checkDeferred(run);
    run.faults.push(
      ...ledger.violations.map(one => `${one.kind}: ${one.detail}`),
    );
  } catch (error) {
    run.faults.push(error instanceof Error ? error.message : String(error));
  } finally {
    run.faults.push(...failedProcesses(run));
    ending.abort();
    writeServerRecords(run);
  }
  return {
    name: scenario.name,
    verdict: run.faults.length === 0 ? 'passed' : 'failed',
    tookMs: performance.now() - startMs,
    faults: run.faults,
    reasons: countFailureReasons(callRecordsOf(run)),
    ledger,
  };
}

/** Writes the records of backend servers beside the logs of the daemons. */
function writeServerRecords({cluster, logFolder}: ScenarioRun): void {
  if (cluster === null || logFolder === undefined) return;
  const lines = cluster.serverRecords.map(record => JSON.stringify(record));
  writeFileSync(join(logFolder, 'servers.jsonl'), lines.join('\n'));
}

/**
 * Lists processes that ended by themselves, for example since an invariant was
 * violated, and daemons that a signal ended which asked for something else.
 */
function failedProcesses(run: ScenarioRun): string[] {
  const hosts = [...(run.cluster?.hosts.values() ?? [])];
  return hosts
    .flatMap(({daemon, server, earlierDaemons}) => [
      ...earlierDaemons,
      daemon,
      server,
    ])
    .filter(child => child !== null)
    .filter(child => child.failure() !== null)
    .map(({name, output, failure}) => {
      const latest = output.slice(-3).join(' ');
      return `${name} ended with ${failure()}: ${latest}`;
    });
}

async function runSteps(run: ScenarioRun): Promise<void> {
  for (const [index, step] of run.scenario.steps.entries()) {
    run.signal.throwIfAborted();
    if (TIMED_STEPS.has(step.name)) recordTimedStep(run, step);
    try {
      await runStep(run, step, index);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      run.faults.push(`steps.${index} ${step.name}: ${detail}`);
      if (step.name !== 'expect') throw error;
    }
  }
  await Promise.all(run.loads.map(load => load.finished));
}

/**
 * Records the time of a step from which times are counted. After a step that
 * brings hosts back, they may begin work again, so open `noWorkAt` periods
 * end.
 */
function recordTimedStep(run: ScenarioRun, step: Step): void {
  run.timedSinceMs = performance.now();
  run.timedSinceWallMs = Date.now();
  const bringsBack = step.name === 'restart' || step.name === 'zone';
  if (!bringsBack) return;
  for (const end of run.noWorkPeriodEnds.splice(0)) {
    end.value = run.timedSinceWallMs;
  }
}

async function runStep(
  run: ScenarioRun,
  step: Step,
  index: number,
): Promise<void> {
  switch (step.name) {
    case 'start':
      return steps.start(run, step.args);
    case 'load':
      steps.load(run, step.args);
      for (const sequence of run.scenario.beside ?? []) {
        run.beside.push(runSequence(run, sequence));
      }
      return;
    case 'wait':
      return sleep(step.args, run.signal);
    case 'finish':
      await Promise.all(run.beside);
      await Promise.all(run.loads.map(load => load.finished));
      return;
    case 'kill':
      return steps.kill(run, step.args);
    case 'freeze':
      return steps.signalHost(run, step.args, 'SIGSTOP');
    case 'wake':
      return steps.signalHost(run, step.args, 'SIGCONT');
    case 'restart':
      return steps.restart(run, step.args);
    case 'cut':
      return steps.cut(run, step.args);
    case 'silence':
      return steps.silence(run, step.args);
    case 'heal':
      return steps.heal(run);
    case 'store':
      return steps.store(run, step.args);
    case 'apply':
      return steps.apply(run, step.args);
    case 'zone':
      return steps.zone(run, step.args);
    case 'stop':
      return steps.stop(run, step.args);
    case 'reload':
      return steps.reload(run, step.args);
    case 'cold':
      return steps.cold(run, step.args);
    case 'straggle':
      return steps.straggle(run, step.args);
    case 'spoil':
      return steps.spoil(run, step.args);
    case 'expect':
      return checkExpectation(run, step.args, index);
  }
}

/** Runs steps beside others; one that fails doesn't end the sequence. */
async function runSequence(
  run: ScenarioRun,
  sequence: readonly Step[],
): Promise<void> {
  for (const [index, step] of sequence.entries()) {
    if (run.signal.aborted) return;
    try {
      await runStep(run, step, index);
    } catch (error) {
      const target = JSON.stringify(step.args);
      run.faults.push(`${step.name} ${target}: ${String(error)}`);
    }
  }
}

function checkDeferred(run: ScenarioRun): void {
  for (const {step, check} of run.deferred) {
    const fault = check();
    if (fault !== null) run.faults.push(`steps.${step} expect: ${fault}`);
  }
}

function rejectOnAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    signal.addEventListener('abort', () => {
      reject(new Error(`ended early: ${String(signal.reason)}`));
    });
  });
}
