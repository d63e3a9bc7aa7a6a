/** @fileoverview Public API of the wire package. */

export {
  MAX_MESSAGE_BYTES,
  decodeFrame,
  encodeFrame,
  estimateSize,
} from './codec/frames.js';
export {PROTOCOL_VERSION} from './codec/schemas.js';
export {MalformedFrame, UnsendableMessage} from './codec/types.js';
export type {Frame, Hello} from './codec/types.js';
export {Links} from './links/links.js';
export type * from './links/types.js';
