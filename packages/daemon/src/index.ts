/** @fileoverview Public items of the daemon package. */

export type * from './logs/types.js';
export {createLogger} from './logs/logic.js';
export type * from './metrics/types.js';
export {createMetrics} from './metrics/logic.js';
export type * from './settings/types.js';
export {SettingsError, parseSettings, readSettings} from './settings/logic.js';
