import { once } from 'node:events';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { DescMethodServerStreaming, MessageInitShape, MessageShape } from '@bufbuild/protobuf';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import { errorToJson } from '@connectrpc/connect/protocol-connect';
import { collectBytes } from '../unary/collectBytes';
import { encodeEnvelope, END_FLAG } from './encodeEnvelope';
import { EnvelopeReader } from './envelopeReader';
import { STREAM_CONTENT_TYPE } from './streamContentType';

const STATUS_OK = 200;

/** Options of {@link createServerStreamListener}. */
export interface ServerStreamListenerOptions<Method extends DescMethodServerStreaming> {
  readonly method: Method;
  readonly handle: (
    message: MessageShape<Method['input']>,
    signal: AbortSignal,
  ) => AsyncIterable<MessageInitShape<Method['output']>>;
  /** Handles all other requests. */
  readonly fallback: RequestListener;
}

const toEnd = (error?: unknown): Buffer => {
  const end =
    error === undefined ? {} : { error: errorToJson(ConnectError.from(error), undefined) };
  return encodeEnvelope(END_FLAG, Buffer.from(JSON.stringify(end)));
};

const serve = async <Method extends DescMethodServerStreaming>(
  { method, handle }: ServerStreamListenerOptions<Method>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  const closed = new AbortController();
  response.once('close', () => closed.abort());
  response.on('error', () => closed.abort());
  response.writeHead(STATUS_OK, { 'content-type': STREAM_CONTENT_TYPE });
  try {
    const [first] = new EnvelopeReader().push(await collectBytes(request));
    if (!first) throw new ConnectError('the message is missing', Code.InvalidArgument);
    const message = fromBinary(method.input, first.content) as MessageShape<Method['input']>;
    for await (const answer of handle(message, closed.signal)) {
      if (closed.signal.aborted) return;
      const bytes = toBinary(method.output, create(method.output, answer));
      const hasRoom = response.write(encodeEnvelope(0, bytes));
      // A follower that doesn't read must not fill the memory.
      if (!hasRoom) await once(response, 'drain', { signal: closed.signal });
    }
    response.end(toEnd());
  } catch (error) {
    if (!closed.signal.aborted) response.end(toEnd(error));
  }
};

/**
 * Creates a listener that serves one method with a stream of responses in the binary form of the
 * Connect protocol directly, at a part of the cost of the general listener, which serves the rest.
 */
export const createServerStreamListener = <Method extends DescMethodServerStreaming>(
  options: ServerStreamListenerOptions<Method>,
): RequestListener => {
  const path = `/${options.method.parent.typeName}/${options.method.name}`;
  return (request, response) => {
    const isPlain =
      request.method === 'POST' &&
      request.headers['content-type'] === STREAM_CONTENT_TYPE &&
      request.headers['connect-content-encoding'] === undefined;
    if (request.url === path && isPlain) void serve(options, request, response);
    else options.fallback(request, response);
  };
};
