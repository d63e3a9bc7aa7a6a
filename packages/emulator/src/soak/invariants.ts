/** @fileoverview Checks of the invariants at every moment of a randomised run. */

import type {
  CommandResult,
  Instant,
  ServiceName,
  Slice,
} from '@jackdawfall/core';
import {latestLeaseEnd, timeLeftMs} from '@jackdawfall/core';

import type {SimulatedNode} from './node.js';
import type {Violation} from './types.js';

const SERVICE = 'finder' as ServiceName;

/** Checks all processes against each other, with knowledge of simulated time. */
export class InvariantChecker {
  violation: Violation | null = null;
  private readonly generations: number[];
  private readonly versions = new Map<SimulatedNode, number>();
  /** Newest configuration that a process has reported as accepted. */
  private acknowledgedConfiguration = 0;
  private readonly configurations = new Map<SimulatedNode, number>();

  /** Incarnation under which each version was seen. */
  private readonly incarnations = new Map<SimulatedNode, string>();
  private restored = false;

  constructor(private readonly slices: number) {
    this.generations = new Array<number>(slices).fill(0);
  }

  /**
   * Reports a broken invariant. Only the first one is kept.
   *
   * @param atMs - Simulated time.
   * @param invariant - Name of the invariant.
   * @param detail - What was observed.
   */
  reportViolation(atMs: number, invariant: string, detail: string): void {
    this.violation ??= {invariant, detail, atMs};
  }

  /**
   * Checks the processes after one of them handled an event.
   *
   * @param now - Simulated time.
   * @param nodes - Every process.
   * @param changed - The process that handled the event.
   * @param comparesOwners - Whether to look for slices with two owners.
   */
  checkAfterEvent(
    now: number,
    nodes: readonly SimulatedNode[],
    changed: SimulatedNode,
    comparesOwners: boolean,
  ): void {
    this.checkMonotone(now, changed);
    if (comparesOwners) this.checkOwners(now, nodes);
  }

  /**
   * Checks that a new run overlaps no run of another process on its slice, and
   * that its generation is not lower than an earlier one.
   *
   * @param now - Simulated time.
   * @param node - The process that dispatches.
   * @param slice - The slice.
   * @param nodes - Every process.
   */
  checkRun(
    now: number,
    node: SimulatedNode,
    slice: Slice,
    nodes: readonly SimulatedNode[],
  ): void {
    for (const other of nodes) {
      if (other === node || !other.alive || !other.isRunningOn(now, slice)) {
        continue;
      }
      const detail = `${other.self} still works on ${slice} as ${node.self} begins`;
      this.reportViolation(now, 'one-server-at-a-time', detail);
    }
    const generation = node.ownershipView.placement(SERVICE, slice).generation;
    if (generation < this.generations[slice]) {
      const detail = `slice ${slice}: ${generation} after ${this.generations[slice]}`;
      this.reportViolation(now, 'generations-rise', detail);
    }
    this.generations[slice] = Math.max(this.generations[slice], generation);
  }

  /**
   * Checks that a slice grant expires no later than the lease.
   *
   * @param now - Simulated time.
   * @param node - The process that sends it.
   * @param until - Latest time at which it expires.
   */
  checkGrant(now: number, node: SimulatedNode, until: Instant): void {
    const at = node.readClocks(now);
    const ttlMs = timeLeftMs(until, at);
    const leaseEnd = latestLeaseEnd(node.state, at);
    const leftMs = leaseEnd === null ? 0 : timeLeftMs(leaseEnd, at);
    if (ttlMs <= leftMs) return;
    const detail = `${node.self}: ${ttlMs} ms granted, ${leftMs} ms left`;
    this.reportViolation(now, 'grant-within-lease', detail);
  }

  /**
   * Records the configuration that an operator's command acknowledged.
   *
   * @param result - Result of a command.
   */
  recordResult(result: CommandResult): void {
    if (result.kind !== 'ok') return;
    const body = JSON.parse(result.body) as {configuration?: unknown};
    if (typeof body.configuration !== 'number') return;
    const previous = this.acknowledgedConfiguration;
    this.acknowledgedConfiguration = Math.max(previous, body.configuration);
  }

  /**
   * Checks that the newest acknowledged configuration is in force everywhere.
   *
   * @param now - Simulated time.
   * @param nodes - Live processes.
   */
  checkAcknowledged(now: number, nodes: readonly SimulatedNode[]): void {
    for (const node of nodes) {
      const number = node.state.map.configuration?.number ?? 0;
      if (number >= this.acknowledgedConfiguration) continue;
      const detail = `${node.self} has ${number}, acknowledged is ${this.acknowledgedConfiguration}`;
      this.reportViolation(now, 'configuration-in-force', detail);
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
          this.reportViolation(now, 'one-owner', detail);
        }
        owners[slice] = node;
      }
    }
  }

  /**
   * Records that the store was restored. A process that the restored log
   * contradicts joins again with the map that the log gives.
   */
  recordRestore(): void {
    this.restored = true;
  }

  private checkMonotone(now: number, node: SimulatedNode): void {
    const {version, configuration} = node.state.map;
    const rejoined = this.incarnations.get(node) !== node.self;
    this.incarnations.set(node, node.self);
    // A process that leaves for good gives its map up as well.
    const isLeaving = node.state.phase === 'left';
    if (this.restored && (rejoined || isLeaving)) {
      this.versions.delete(node);
      this.configurations.delete(node);
    }
    if (version < (this.versions.get(node) ?? 0)) {
      this.reportViolation(now, 'versions-rise', node.self);
    }
    this.versions.set(node, version);
    const number = configuration?.number ?? 0;
    if (number < (this.configurations.get(node) ?? 0)) {
      this.reportViolation(now, 'configuration-never-reverts', node.self);
    }
    this.configurations.set(node, number);
  }
}
