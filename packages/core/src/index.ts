/** @fileoverview Public items of the core package. */

export type * from './clock/types.js';
export type * from './errors/types.js';
export {ANSWERS, failure} from './errors/logic.js';
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
export type * from './ownership/types.js';
export type * from './settings/defaults.js';
export {DEFAULTS} from './settings/defaults.js';
export type * from './store/types.js';
export type * from './workspace/types.js';
export type {Fault, ParsedWorkspace} from './workspace/schema.js';
export {MAX_SLICES, faultsOf, parseWorkspace} from './workspace/schema.js';
export {checkChange} from './workspace/logic.js';
export type {HeaderMap, Match, Router} from './workspace/router.js';
export {compileRoutes, matchRoute} from './workspace/router.js';
export type * from './templates/types.js';
export {expandTemplate, parseTemplate} from './templates/logic.js';
export type {PartialTuning} from './settings/logic.js';
export {LOG_LEVELS, mergeTuning, tuningSchema} from './settings/logic.js';
