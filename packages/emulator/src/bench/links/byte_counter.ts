/** @fileoverview A TCP relay that counts the bytes that it forwards. */

import {connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

/** A counting relay. */
export interface ByteCounter {
  readonly port: number;
  /** Returns the number of bytes forwarded so far, in both directions. */
  bytes(): number;
}

/**
 * Starts a counting relay on the loopback interface.
 *
 * @param port - The port to forward to.
 * @param signal - Stops the relay.
 * @returns The relay.
 */
export async function startByteCounter(
  port: number,
  signal: AbortSignal,
): Promise<ByteCounter> {
  let passed = 0;
  const server = createServer(inbound => {
    const outbound = connect(port, '127.0.0.1');
    const count = (bytes: Buffer) => void (passed += bytes.length);
    inbound.on('data', count);
    outbound.on('data', count);
    inbound.pipe(outbound).pipe(inbound);
    inbound.on('error', () => outbound.destroy());
    outbound.on('error', () => inbound.destroy());
    signal.addEventListener('abort', () => inbound.destroy(), {once: true});
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  signal.addEventListener('abort', () => server.close(), {once: true});
  const address = server.address() as AddressInfo;
  return {port: address.port, bytes: () => passed};
}
