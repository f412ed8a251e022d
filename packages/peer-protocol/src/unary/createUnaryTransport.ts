import type { Agent, IncomingMessage } from 'node:http';
import { request as sendRequest } from 'node:http';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { Transport } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';
import { codeFromHttpStatus, errorFromJsonBytes } from '@connectrpc/connect/protocol-connect';
import { collectBytes } from './collectBytes';
import { UNARY_CONTENT_TYPE } from './unaryContentType';

const STATUS_OK = 200;

/** Options of {@link createUnaryTransport}. */
export interface UnaryTransportOptions {
  readonly host: string;
  readonly port: number;
  readonly agent: Agent;
}

interface UnaryExchange extends UnaryTransportOptions {
  readonly path: string;
  readonly body: Uint8Array;
  readonly timeoutMilliseconds: number | undefined;
}

const exchange = ({
  host,
  port,
  agent,
  path,
  body,
  timeoutMilliseconds,
}: UnaryExchange): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    const headers = {
      'content-type': UNARY_CONTENT_TYPE,
      'content-length': body.length,
      'connect-protocol-version': '1',
    };
    const outgoing = sendRequest({ host, port, agent, method: 'POST', path, headers });
    const timer =
      timeoutMilliseconds === undefined
        ? undefined
        : setTimeout(() => {
            outgoing.destroy(new ConnectError('no response in time', Code.DeadlineExceeded));
          }, timeoutMilliseconds);
    outgoing.once('close', () => clearTimeout(timer));
    outgoing.once('error', reject);
    outgoing.once('response', resolve);
    outgoing.end(body);
  });

/**
 * Creates a transport for short unary calls in the binary form of the Connect protocol. It lacks
 * interceptors, compression, headers and streams, which the calls between instances don't use, and
 * costs half of the general transport.
 */
export const createUnaryTransport = (options: UnaryTransportOptions): Transport => ({
  unary: async (method, _signal, timeoutMilliseconds, _header, input) => {
    const response = await exchange({
      ...options,
      path: `/${method.parent.typeName}/${method.name}`,
      body: toBinary(method.input, create(method.input, input)),
      timeoutMilliseconds,
    });
    const bytes = await collectBytes(response);
    const { statusCode = 0 } = response;
    if (statusCode !== STATUS_OK) {
      const fallback = new ConnectError(`status ${statusCode}`, codeFromHttpStatus(statusCode));
      throw errorFromJsonBytes(bytes, undefined, fallback);
    }
    /* eslint-disable n/no-unsupported-features/node-builtins -- part of the transport's interface */
    return {
      stream: false,
      service: method.parent,
      method,
      header: new Headers(),
      trailer: new Headers(),
      message: fromBinary(method.output, bytes),
    };
    /* eslint-enable n/no-unsupported-features/node-builtins */
  },
  stream: () =>
    Promise.reject(new ConnectError('this transport has no streams', Code.Unimplemented)),
});
