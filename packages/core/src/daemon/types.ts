/** @fileoverview State of a daemon. */

import type {ExecutionState} from '../execution/types.js';
import type {OwnershipState} from '../ownership/state.js';
import type {OwnershipView, WorkView} from '../ownership/types.js';
import type {RoutingState} from '../routing/types.js';

/** State of every subsystem, with the views between them. */
export interface Daemon {
  readonly ownership: OwnershipState;
  readonly routing: RoutingState;
  readonly execution: ExecutionState;
  /** Live view of ownership for the other subsystems. */
  readonly ownershipView: OwnershipView;
  /** Live view of the work in flight, for ownership. */
  readonly work: WorkView;
}
