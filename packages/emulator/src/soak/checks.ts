/** @fileoverview The invariants that every moment of a run must keep. */

import type {
  CommandResult,
  Instant,
  ServiceName,
  Slice,
} from '@jackdawfall/core';
import {currentLease, timeLeftMs} from '@jackdawfall/core';

import type {SimulatedNode} from './node.js';
import type {Violation} from './types.js';

const SERVICE = 'finder' as ServiceName;

/** Looks at all processes with the eye of global time. */
export class Checks {
  violation: Violation | null = null;
  private readonly generations: number[];
  private readonly versions = new Map<SimulatedNode, number>();
  private newestConfiguration = 0;
  private readonly configurations = new Map<SimulatedNode, number>();

  constructor(private readonly slices: number) {
    this.generations = new Array<number>(slices).fill(0);
  }

  /**
   * Reports a broken invariant; the first one stays.
   *
   * @param atMs - Global time.
   * @param invariant - Its name.
   * @param detail - What was seen.
   */
  fail(atMs: number, invariant: string, detail: string): void {
    this.violation ??= {invariant, detail, atMs};
  }

  /**
   * Checks the processes after one of them handled an event.
   *
   * @param now - Global time.
   * @param nodes - Every process.
   * @param changed - The process that handled the event.
   * @param all - Whether owners are compared, too.
   */
  look(
    now: number,
    nodes: readonly SimulatedNode[],
    changed: SimulatedNode,
    all: boolean,
  ): void {
    this.checkMonotone(now, changed);
    if (all) this.checkOwners(now, nodes);
  }

  /**
   * Checks a new run against the runs of other processes.
   *
   * @param now - Global time.
   * @param node - The process that dispatches.
   * @param slice - The slice.
   * @param nodes - Every process.
   */
  noteWork(
    now: number,
    node: SimulatedNode,
    slice: Slice,
    nodes: readonly SimulatedNode[],
  ): void {
    for (const other of nodes) {
      if (other === node || !other.alive || !other.works(now, slice)) continue;
      const detail = `${other.self} still works on ${slice} as ${node.self} begins`;
      this.fail(now, 'one-server-at-a-time', detail);
    }
    const generation = node.ownershipView.placement(SERVICE, slice).generation;
    if (generation < this.generations[slice]) {
      const detail = `slice ${slice}: ${generation} after ${this.generations[slice]}`;
      this.fail(now, 'generations-rise', detail);
    }
    this.generations[slice] = Math.max(this.generations[slice], generation);
  }

  /**
   * Notes a grant to the backend server; it must lapse with the lease.
   *
   * @param now - Global time.
   * @param node - The process that gives it.
   * @param until - When it lapses at the latest.
   */
  noteGrant(now: number, node: SimulatedNode, until: Instant): void {
    const at = node.readClocks(now);
    const ttlMs = timeLeftMs(until, at);
    const held = currentLease(node.state, at);
    const leftMs = held.source === 'none' ? 0 : timeLeftMs(held.until, at);
    if (ttlMs <= leftMs) return;
    const detail = `${node.self}: ${ttlMs} ms granted, ${leftMs} ms left`;
    this.fail(now, 'grant-within-lease', detail);
  }

  /**
   * Notes what operators were told.
   *
   * @param result - Result of a command.
   */
  noteResult(result: CommandResult): void {
    if (result.kind !== 'ok') return;
    const body = JSON.parse(result.body) as {configuration?: unknown};
    if (typeof body.configuration !== 'number') return;
    const known = this.newestConfiguration;
    this.newestConfiguration = Math.max(known, body.configuration);
  }

  /**
   * Checks that what was acknowledged is in force everywhere.
   *
   * @param now - Global time.
   * @param nodes - Live processes.
   */
  checkAcknowledged(now: number, nodes: readonly SimulatedNode[]): void {
    for (const node of nodes) {
      const number = node.state.map.configuration?.number ?? 0;
      if (number >= this.newestConfiguration) continue;
      const detail = `${node.self} has ${number}, acknowledged is ${this.newestConfiguration}`;
      this.fail(now, 'configuration-in-force', detail);
    }
  }

  private checkOwners(now: number, nodes: readonly SimulatedNode[]): void {
    const owners = new Array<SimulatedNode | undefined>(this.slices);
    for (const node of nodes) {
      if (!node.alive) continue;
      const at = node.readClocks(now);
      for (let slice = 0; slice < this.slices; slice++) {
        const permission = node.ownershipView.mayDispatch(
          SERVICE,
          slice as Slice,
          at,
        );
        if (permission.kind !== 'granted') continue;
        const other = owners[slice];
        if (other !== undefined) {
          const detail = `${other.self} and ${node.self} own slice ${slice}`;
          this.fail(now, 'one-owner', detail);
        }
        owners[slice] = node;
      }
    }
  }

  private checkMonotone(now: number, node: SimulatedNode): void {
    const {version, configuration} = node.state.map;
    if (version < (this.versions.get(node) ?? 0)) {
      this.fail(now, 'versions-rise', node.self);
    }
    this.versions.set(node, version);
    const number = configuration?.number ?? 0;
    if (number < (this.configurations.get(node) ?? 0)) {
      this.fail(now, 'configuration-never-reverts', node.self);
    }
    this.configurations.set(node, number);
  }
}
