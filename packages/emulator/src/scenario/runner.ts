/** @fileoverview Runs one scenario over real processes. */

import type {Stage} from './state.js';
import type {Result, Scenario, Step} from './types.js';

import {sleep} from '../control/logic.js';
import {expect, ledgerOf, recordsOf} from './expectations.js';
import {countFailureReasons} from '../load/logic.js';
import {emptyStage} from './state.js';
import * as steps from './steps.js';

/** Words that begin something whose effect is timed. */
const MARKING = new Set<Step['word']>([
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
 * Runs a scenario and tears everything down.
 *
 * @param scenario - The scenario.
 * @param signal - Ends it early.
 * @returns What came of it.
 */
export async function runScenario(
  scenario: Scenario,
  signal: AbortSignal,
): Promise<Result> {
  const startMs = performance.now();
  const ending = new AbortController();
  const limit = AbortSignal.timeout(scenario.timeoutMs);
  const until = AbortSignal.any([signal, limit, ending.signal]);
  const stage = emptyStage(scenario, until);
  let ledger: Result['ledger'] = null;
  try {
    await Promise.race([perform(stage), aborted(until)]);
    ledger = ledgerOf(stage);
    judgeLater(stage);
    stage.faults.push(
      ...ledger.violations.map(one => `${one.kind}: ${one.detail}`),
    );
  } catch (error) {
    stage.faults.push(error instanceof Error ? error.message : String(error));
  } finally {
    stage.faults.push(...failedProcesses(stage));
    ending.abort();
  }
  return {
    name: scenario.name,
    verdict: stage.faults.length === 0 ? 'passed' : 'failed',
    tookMs: performance.now() - startMs,
    faults: stage.faults,
    reasons: countFailureReasons(recordsOf(stage)),
    ledger,
  };
}

/** A process that ended with an error, such as a broken invariant. */
function failedProcesses(stage: Stage): string[] {
  const hosts = [...(stage.cluster?.hosts.values() ?? [])];
  return hosts
    .flatMap(({daemon, server}) => [daemon, server])
    .filter(child => child !== null)
    .filter(child => child.hasFailed())
    .map(({name, output}) => `${name} failed: ${output.slice(-3).join(' ')}`);
}

async function perform(stage: Stage): Promise<void> {
  for (const [index, step] of stage.scenario.steps.entries()) {
    stage.signal.throwIfAborted();
    if (MARKING.has(step.word)) mark(stage, step);
    try {
      await carryOut(stage, step, index);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      stage.faults.push(`steps.${index} ${step.word}: ${detail}`);
      if (step.word !== 'expect') throw error;
    }
  }
  await Promise.all(stage.loads.map(load => load.finished));
}

/** A host that is brought back may begin work from then on. */
function mark(stage: Stage, step: Step): void {
  stage.markMs = performance.now();
  stage.markWallMs = Date.now();
  const returns = step.word === 'restart' || step.word === 'zone';
  if (!returns) return;
  for (const end of stage.idle.splice(0)) end.value = stage.markWallMs;
}

async function carryOut(
  stage: Stage,
  step: Step,
  index: number,
): Promise<void> {
  switch (step.word) {
    case 'start':
      return steps.start(stage, step.says);
    case 'load':
      return steps.load(stage, step.says);
    case 'wait':
      return sleep(step.says, stage.signal);
    case 'finish':
      await Promise.all(stage.loads.map(load => load.finished));
      return;
    case 'kill':
      return steps.kill(stage, step.says);
    case 'freeze':
      return steps.signalHost(stage, step.says, 'SIGSTOP');
    case 'wake':
      return steps.signalHost(stage, step.says, 'SIGCONT');
    case 'restart':
      return steps.restart(stage, step.says);
    case 'cut':
      return steps.cut(stage, step.says);
    case 'silence':
      return steps.silence(stage, step.says);
    case 'heal':
      return steps.heal(stage);
    case 'store':
      return steps.store(stage, step.says);
    case 'apply':
      return steps.apply(stage, step.says);
    case 'zone':
      return steps.zone(stage, step.says);
    case 'stop':
      return steps.stop(stage, step.says);
    case 'cold':
      return steps.cold(stage, step.says);
    case 'straggle':
      return steps.straggle(stage, step.says);
    case 'expect':
      return expect(stage, step.says, index);
  }
}

function judgeLater(stage: Stage): void {
  for (const {step, judge} of stage.later) {
    const fault = judge();
    if (fault !== null) stage.faults.push(`steps.${step} expect: ${fault}`);
  }
}

function aborted(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    signal.addEventListener('abort', () => {
      reject(new Error(`ended early: ${String(signal.reason)}`));
    });
  });
}
