/** @fileoverview State of a daemon. */

import type {ExecutionState} from '../execution/types.js';
import type {OwnershipState} from '../ownership/state.js';
import type {OwnershipView, WorkView} from '../ownership/types.js';
import type {QuotaGate, QuotaMembership, QuotaState} from '../quotas/types.js';
import type {RoutingState} from '../routing/types.js';

/** State of every subsystem, with the views between them. */
export interface Daemon {
  readonly ownership: OwnershipState;
  readonly routing: RoutingState;
  readonly execution: ExecutionState;
  readonly quotas: QuotaState;
  /** Live view of ownership for the other subsystems. */
  readonly ownershipView: OwnershipView;
  /** Live view of the work in flight, for ownership. */
  readonly work: WorkView;
  /** Live view of the membership, for quotas. */
  readonly quotaMembership: QuotaMembership;
  /** Decisions about requests of tenants, for routing. */
  readonly quotaGate: QuotaGate;
}
