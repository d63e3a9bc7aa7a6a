/**
 * @fileoverview The gRPC service below the links: one bidirectional stream of
 * opaque frames. Each link has its own client, so a new link opens a new
 * connection and never shares one that no longer transfers anything.
 */

import * as grpc from '@grpc/grpc-js';
import type {Address} from '@jackdawfall/core';
import {MAX_FRAME_BYTES} from '../codec/frames.js';
import type {ListenAddress} from './types.js';

const PATH = '/jackdawfall.Links/Open';

const CONNECTION_OPTIONS = {
  'grpc.max_receive_message_length': MAX_FRAME_BYTES,
  'grpc.max_send_message_length': MAX_FRAME_BYTES,
} as const;

const CLIENT_OPTIONS: grpc.ChannelOptions = {
  ...CONNECTION_OPTIONS,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_http_proxy': 0,
};

/**
 * Closes connections of peers that vanished. The liveness checks of the links
 * end their streams much earlier.
 */
const SERVER_OPTIONS: grpc.ServerOptions = {
  ...CONNECTION_OPTIONS,
  'grpc.max_connection_idle_ms': 5000,
  'grpc.keepalive_time_ms': 60000,
  'grpc.keepalive_timeout_ms': 10000,
};

const METHOD = {
  path: PATH,
  requestStream: true,
  responseStream: true,
  requestSerialize: pass,
  requestDeserialize: pass,
  responseSerialize: pass,
  responseDeserialize: pass,
} as const;

/** One end of a stream of frames, on the dialling or the accepting side. */
export interface FrameStream {
  /** Queues a frame; `flushed` is called once the connection has accepted it. */
  write(bytes: Buffer, flushed: () => void): void;
  onFrame(handler: (bytes: Buffer) => void): void;
  /** The handler is called once, when the stream has ended or failed. */
  onEnd(handler: (reason: string) => void): void;
  /** Ends the stream after all queued frames. */
  end(): void;
  /** Ends the stream and its connection immediately. */
  destroy(): void;
}

/**
 * Opens a stream over a new connection.
 *
 * @param address - `ip:port` of the peer.
 * @returns The stream; a failure to connect is reported to its `onEnd`.
 */
export function dialStream(address: Address): FrameStream {
  const credentials = grpc.credentials.createInsecure();
  const client = new grpc.Client(address, credentials, CLIENT_OPTIONS);
  const call = client.makeBidiStreamRequest<Buffer, Buffer>(PATH, pass, pass);
  return {
    write: (bytes, flushed) => void call.write(bytes, flushed),
    onFrame: handler => void call.on('data', handler),
    onEnd: handler => {
      const report = once(handler);
      call.on('error', error => report(error.message));
      call.on('end', () => report('ended by the peer'));
    },
    end: () => {
      call.end();
      client.close();
    },
    destroy: () => {
      call.cancel();
      client.close();
    },
  };
}

/**
 * Starts a server that accepts streams.
 *
 * @param listen - Where to listen.
 * @param accept - Called for each stream that a peer opens.
 * @returns The server and the port it listens on.
 * @throws Error when the port can't be bound.
 */
export async function acceptStreams(
  listen: ListenAddress,
  accept: (stream: FrameStream) => void,
): Promise<{server: grpc.Server; port: number}> {
  const server = new grpc.Server(SERVER_OPTIONS);
  server.addService(
    {open: METHOD},
    {
      open: (call: grpc.ServerDuplexStream<Buffer, Buffer>) =>
        accept(acceptedStream(call)),
    },
  );
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(
      `${listen.ip}:${listen.port}`,
      grpc.ServerCredentials.createInsecure(),
      (error, bound) => (error ? reject(error) : resolve(bound)),
    );
  });
  return {server, port};
}

function acceptedStream(
  call: grpc.ServerDuplexStream<Buffer, Buffer>,
): FrameStream {
  return {
    write: (bytes, flushed) => void call.write(bytes, flushed),
    onFrame: handler => void call.on('data', handler),
    onEnd: handler => {
      const report = once(handler);
      call.on('error', error => report(error.message));
      call.on('end', () => report('ended by the peer'));
      call.on('cancelled', () => report('cancelled by the peer'));
      call.on('close', () => report('closed'));
    },
    end: () => void call.end(),
    destroy: () =>
      void call.emit('error', {
        code: grpc.status.UNAVAILABLE,
        details: 'link dropped',
      }),
  };
}

/** Frames are encoded elsewhere; gRPC transfers them unchanged. */
function pass(bytes: Buffer): Buffer {
  return bytes;
}

function once(handler: (reason: string) => void): (reason: string) => void {
  let called = false;
  return reason => {
    if (called) return;
    called = true;
    handler(reason);
  };
}
