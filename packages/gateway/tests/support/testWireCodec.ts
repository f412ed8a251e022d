import type { IncomingMessage } from 'node:http';
import type { ProgramReference, PromptShape } from '../../src/calls/callEnvelope';
import type { ResponseHead, WireCodec } from '../../src/calls/wireCodec';
import { callEnvelope } from './callEnvelope';

const getHeader = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
};

const PROMPT: PromptShape = {
  inputTokens: 10,
  maximumOutputTokens: 10,
  expectedOutputTokens: undefined,
  parts: [],
};

/** Returns a program whose turns may generate a few tokens. */
const toProgram = (id: string): ProgramReference => ({
  id,
  session: undefined,
  finishMilliseconds: undefined,
  tokenBudget: 100,
});

/**
 * Codec for headers that only tests use: `x-id`, `x-key`, `x-patience`, `x-program` and, of targets,
 * `x-signed`.
 */
export const testWireCodec: WireCodec = {
  decodeRequest: (request) => {
    const id = getHeader(request, 'x-id');
    if (id === undefined) return { kind: 'malformed-request', detail: 'no id' };
    const patience = getHeader(request, 'x-patience');
    const program = getHeader(request, 'x-program');
    return callEnvelope({
      ...(program !== undefined && { program: toProgram(program), prompt: PROMPT }),
      id,
      method: request.method ?? 'GET',
      pathAndQuery: request.url ?? '/',
      key: getHeader(request, 'x-key'),
      patienceMilliseconds: patience === undefined ? undefined : Number(patience),
    });
  },
  encodeDispatch: (envelope, note) => ['x-id', envelope.id, 'x-target', note.targetId],
  decodeResponseId: (rawHeaders) => rawHeaders[rawHeaders.indexOf('x-id') + 1],
  decodeResponse: (status, rawHeaders): ResponseHead => ({
    status,
    requestId: rawHeaders[rawHeaders.indexOf('x-id') + 1],
    isSigned: rawHeaders.includes('x-signed'),
    isNotExecuted: rawHeaders.includes('x-not-run'),
    isMisdirected: status === 421,
    isLeaving: false,
    hasContentEncoding: false,
    load: { kind: 'missing' },
    namedLimit: { kind: 'none' },
    passedHeaders: [],
  }),
  encodeGatewayResponse: (_envelope, retryAfterSeconds) =>
    retryAfterSeconds === undefined ? [] : ['retry-after', String(retryAfterSeconds)],
};
