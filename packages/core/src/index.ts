/** @fileoverview Public items of the core package. */

export type * from './clock/types.js';
export type * from './errors/types.js';
export {ANSWERS, failure} from './errors/logic.js';
export {EXECUTION} from './execution/definition.js';
export {createExecution, workOf} from './execution/state.js';
export type {Execution} from './execution/types.js';
export type * from './ids/types.js';
export {
  NO_VERSION,
  attemptOf,
  compareIds,
  hostOf,
  memberOf,
  originOf,
  sequenceOf,
} from './ids/logic.js';
export {hashKey, sliceOf} from './keys/logic.js';
export type * from './logs/catalogue.js';
export {LOGS} from './logs/catalogue.js';
export type * from './loop/subject.js';
export type * from './loop/types.js';
export type * from './messages/types.js';
export type * from './outcomes/types.js';
export {placeOfReport, settle} from './outcomes/logic.js';
export type * from './ownership/types.js';
export {ROUTING} from './routing/definition.js';
export {createRouting} from './routing/state.js';
export type {Routing} from './routing/types.js';
export type * from './settings/defaults.js';
export {DEFAULTS} from './settings/defaults.js';
export type * from './store/types.js';
export type * from './workspace/types.js';
