import type { Agent, ClientRequest, IncomingMessage } from 'node:http';
import { request as sendRequest } from 'node:http';
import type { DescMethodServerStreaming, MessageInitShape, MessageShape } from '@bufbuild/protobuf';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import { codeFromHttpStatus } from '@connectrpc/connect/protocol-connect';
import { encodeEnvelope, END_FLAG } from './encodeEnvelope';
import { EnvelopeReader } from './envelopeReader';
import { STREAM_CONTENT_TYPE } from './streamContentType';

const STATUS_OK = 200;

/** Options of {@link openServerStream}. */
export interface ServerStreamOptions<Method extends DescMethodServerStreaming> {
  readonly method: Method;
  readonly message: MessageInitShape<Method['input']>;
  readonly host: string;
  readonly port: number;
  readonly agent: Agent;
  readonly signal: AbortSignal;
}

const send = <Method extends DescMethodServerStreaming>({
  method,
  message,
  host,
  port,
  agent,
  signal,
}: ServerStreamOptions<Method>): ClientRequest => {
  const body = encodeEnvelope(0, toBinary(method.input, create(method.input, message)));
  const outgoing = sendRequest({
    host,
    port,
    agent,
    method: 'POST',
    path: `/${method.parent.typeName}/${method.name}`,
    headers: {
      'content-type': STREAM_CONTENT_TYPE,
      'content-length': body.length,
      'connect-protocol-version': '1',
    },
    signal,
  });
  outgoing.end(body);
  return outgoing;
};

const untilResponse = (outgoing: ClientRequest): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    outgoing.once('response', resolve);
    // Also after the response has begun, when the connection breaks.
    outgoing.on('error', reject);
  });

const checkEnd = (content: Uint8Array): void => {
  const end: unknown = JSON.parse(Buffer.from(content).toString('utf8'));
  if (typeof end !== 'object' || end === null || !('error' in end)) return;
  throw new ConnectError(JSON.stringify(end.error), Code.Unknown);
};

/**
 * Yields the responses of one call in the binary form of the Connect protocol; throws if the stream
 * breaks off. It costs a part of what the general transport does.
 */
export async function* openServerStream<Method extends DescMethodServerStreaming>(
  options: ServerStreamOptions<Method>,
): AsyncGenerator<MessageShape<Method['output']>, void, undefined> {
  const { method } = options;
  const outgoing = send(options);
  try {
    const response = await untilResponse(outgoing);
    const { statusCode = 0 } = response;
    if (statusCode !== STATUS_OK) {
      throw new ConnectError(`status ${statusCode}`, codeFromHttpStatus(statusCode));
    }
    const reader = new EnvelopeReader();
    for await (const chunk of response) {
      for (const { flags, content } of reader.push(chunk)) {
        if ((flags & END_FLAG) === END_FLAG) {
          checkEnd(content);
          return;
        }
        yield fromBinary(method.output, content) as MessageShape<Method['output']>;
      }
    }
    throw new ConnectError('the stream broke off', Code.Aborted);
  } finally {
    outgoing.destroy();
  }
}
