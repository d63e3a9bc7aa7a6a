/** @fileoverview Public API of the daemon package. */

export type * from './logs/types.js';
export {createLogger} from './logs/logic.js';
export type * from './metrics/types.js';
export {createMetrics} from './metrics/logic.js';
export type * from './settings/types.js';
export {SettingsError, parseSettings, readSettings} from './settings/logic.js';
export type * from './adapters/types.js';
export {readBodyText} from './http/body.js';
export {endToEndHeaders, headerOf, toHeaderRecord} from './http/headers.js';
export {readClocks} from './loop/logic.js';
export {HttpClient} from './http/client.js';
export type {HttpRequest, HttpResponse} from './http/client.js';
export {replyFromError} from './store_client/logic.js';
export {ListenError} from './process/listen.js';
export {runProcess} from './process/logic.js';
export {ServerConnectionPool} from './runs/connections.js';
export {limitResponse} from './runs/excess_bytes.js';
export {
  ASKING_HEADERS,
  BodySender,
  endOnceConnected,
  timeToLiveMs,
} from './runs/grants.js';
