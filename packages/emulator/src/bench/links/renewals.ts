/**
 * @fileoverview Measures the cost of lease renewals: bytes on one link, and CPU
 * time of the member and of the grantor with many links.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {DEFAULT_TUNING} from '@jackdawfall/core';
import {printProgress} from '../progress.js';
import type {Measurements} from '../types.js';
import {startWorker} from '../workers.js';
import type {Usage, Worker} from '../workers.js';
import {startByteCounter} from './byte_counter.js';
import {WORKER} from './types.js';
import type {Peer} from './types.js';

const LINK_COUNT = 400;
const SETTLE_MS = 2000;
const MEASURE_MS = 10_000;

/**
 * Measures lease renewals.
 *
 * @param signal - Stops the measurement early.
 * @returns Bytes per link and second in both directions, and CPU time per
 *     renewal.
 */
export async function measureRenewals(
  signal: AbortSignal,
): Promise<Measurements> {
  printProgress('  renewals: bytes on one link');
  const bytes = await measureBytes(signal);
  printProgress(`  renewals over ${LINK_COUNT} links`);
  const {memberUs, grantorUs} = await measureCpuTime(signal);
  return {
    renewMs: DEFAULT_TUNING.leases.renewMs,
    payloadBytesPerLinkAndSecond: bytes,
    memberCpuUsPerRenewal: memberUs,
    grantorCpuUsPerRenewal: grantorUs,
  };
}

async function measureBytes(signal: AbortSignal): Promise<number> {
  const stop = new AbortController();
  const both = AbortSignal.any([signal, stop.signal]);
  const {member, grantor, to} = await openPair(signal);
  const port = Number(to.address.split(':')[1]);
  const counter = await startByteCounter(port, both);
  const peers = [{...to, address: `127.0.0.1:${counter.port}`}];
  await member.call('renew', {peers, periodMs: DEFAULT_TUNING.leases.renewMs});
  await sleep(SETTLE_MS);
  const before = counter.bytes();
  await sleep(MEASURE_MS);
  const bytes = counter.bytes() - before;
  stop.abort();
  await Promise.all([member.stop(), grantor.stop()]);
  return Math.round((bytes * 1000) / MEASURE_MS);
}

/** Measures one member that renews its lease with many grantors. */
async function measureCpuTime(
  signal: AbortSignal,
): Promise<{memberUs: number; grantorUs: number}> {
  const member = startWorker(WORKER, signal);
  const grantors = startWorker(WORKER, signal);
  await member.call('open', {member: 'm#1'});
  const peers = await grantors.call<Peer[]>('listenAsMany', {
    count: LINK_COUNT,
  });
  await grantors.call('grant');
  await member.call('openToAll', peers);
  const periodMs = DEFAULT_TUNING.leases.renewMs;
  await member.call('renew', {peers, periodMs});
  await sleep(SETTLE_MS);
  const renewals = (LINK_COUNT * MEASURE_MS) / periodMs;
  const [memberUs, grantorUs] = await Promise.all(
    [member, grantors].map(worker => cpuUsPerRenewal(worker, renewals)),
  );
  await Promise.all([member.stop(), grantors.stop()]);
  return {memberUs: memberUs ?? 0, grantorUs: grantorUs ?? 0};
}

async function cpuUsPerRenewal(
  worker: Worker,
  renewals: number,
): Promise<number> {
  const before = await worker.call<Usage>('usage');
  await sleep(MEASURE_MS);
  const after = await worker.call<Usage>('usage');
  return Math.round(((after.cpuUs - before.cpuUs) / renewals) * 10) / 10;
}

async function openPair(
  signal: AbortSignal,
): Promise<{member: Worker; grantor: Worker; to: Peer}> {
  const member = startWorker(WORKER, signal);
  const grantor = startWorker(WORKER, signal);
  await member.call('open', {member: 'm#1'});
  const to = await grantor.call<Peer>('open', {member: 'g#1'});
  await grantor.call('grant');
  return {member, grantor, to};
}
