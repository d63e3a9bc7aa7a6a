/** @fileoverview Public items of the daemon package. */

export type * from './logs/types.js';
export {createLogger} from './logs/logic.js';
export type * from './metrics/types.js';
export {createMetrics} from './metrics/logic.js';
export type * from './settings/types.js';
export {SettingsError, parseSettings, readSettings} from './settings/logic.js';
export type * from './edges/types.js';
export {readText} from './bodies/text.js';
export {endToEndHeaders, headerOf, toRecord} from './bodies/headers.js';
export {Exchanges} from './exchange/logic.js';
export type {Exchange, Reply} from './exchange/logic.js';
export {lostReply} from './platform/logic.js';
export {ListenError, runProcess} from './process/logic.js';
export {endOnceConnected, timeToLiveMs} from './runs/grants.js';
