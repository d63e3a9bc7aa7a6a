/** @fileoverview The state of a whole daemon. */

import type {ExecutionState} from '../execution/types.js';
import type {OwnershipState} from '../ownership/state.js';
import type {OwnershipView, WorkView} from '../ownership/types.js';
import type {RoutingState} from '../routing/types.js';

/** State of every subject of a daemon. */
export interface Daemon {
  readonly ownership: OwnershipState;
  readonly routing: RoutingState;
  readonly execution: ExecutionState;
  /** What other subjects may ask of ownership; follows its state. */
  readonly ownershipView: OwnershipView;
  /** What ownership may ask of execution; follows its state. */
  readonly work: WorkView;
}
