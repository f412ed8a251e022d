import { createHash } from 'node:crypto';
import type { Configuration, RouteSpec } from '@limpetnotch/declarations';
import type { RunCallRequest } from '@limpetnotch/peer-protocol';
import type { CallRequest } from '@limpetnotch/programs';
import type { PrefixBlock } from '@limpetnotch/scheduling';
import { prefixBlocks } from '@limpetnotch/scheduling';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Problem } from '../problems/problem';
import { assertNever } from '../util/assertNever';
import { resolveStartLimits } from './resolveBudgetLimits';
import type { ChatRequest } from './chatRequest';
import { parseChatRequest, toPromptMessages } from './chatRequest';

const DEFAULT_OUTPUT_TOKENS = 1_024;

/** Result of checking a call against the configuration, before it runs. */
export interface CallPlan {
  readonly routeName: string;
  readonly route: RouteSpec;
  /** Parsed chat request; `undefined` for routes to tool services. */
  readonly chat: ChatRequest | undefined;
  readonly prefix: readonly PrefixBlock[];
  readonly promptTokens: number;
  readonly requestDigest: string;
  readonly callRequest: CallRequest;
}

/** Returns the hexadecimal SHA-256 digest of method, path and body. */
const computeRequestDigest = (request: RunCallRequest): string =>
  createHash('sha256')
    .update(`${request.method} ${request.pathAndQuery}\n`)
    .update(request.body)
    .digest('hex');

const refuseCall = (problem: Problem['problem'], detail: string): Result<never, Problem> =>
  err({ problem, detail, executed: 'no' });

const parseChat = (
  request: RunCallRequest,
  models: readonly string[],
): Result<ChatRequest, Problem> => {
  const chat = parseChatRequest(request.body);
  if (chat.isErr()) return refuseCall('malformed-request', chat.error);
  if (!models.includes(chat.value.model)) {
    return refuseCall('model-not-found', `model ${chat.value.model} is not on this route`);
  }
  return ok(chat.value);
};

const createPlan = (
  request: RunCallRequest,
  route: RouteSpec,
  configuration: Configuration,
  chat: ChatRequest | undefined,
): CallPlan => {
  const prefix = chat ? prefixBlocks(toPromptMessages(chat)) : [];
  const promptTokens = prefix.reduce((sum, block) => sum + block.tokens, 0);
  const outputTokens = chat
    ? (chat.max_completion_tokens ?? chat.max_tokens ?? DEFAULT_OUTPUT_TOKENS)
    : 0;
  const requestDigest = computeRequestDigest(request);
  return {
    routeName: request.route,
    route,
    chat,
    prefix,
    promptTokens,
    requestDigest,
    callRequest: {
      program: { organisation: request.organisation, path: request.program },
      singleCall: request.singleCall,
      expectedSequence: request.expectedSequence,
      idempotencyKey: request.idempotencyKey,
      requestDigest,
      route: request.route,
      idempotent: route.idempotent,
      worstCase: {
        tokens: promptTokens + outputTokens,
        calls: 1,
        spendMicros: route.spendMicrosPerCall,
      },
      minimumTokens: chat ? promptTokens + 1 : 0,
      limits: resolveStartLimits(configuration, route, request.organisation),
      requestBodyBase64: Buffer.from(request.body).toString('base64'),
    },
  };
};

/** Checks a call against the configuration; a refused call did not run. */
export const planCall = (
  request: RunCallRequest,
  configuration: Configuration,
): Result<CallPlan, Problem> => {
  const route = configuration.routes.get(request.route);
  if (!route) return refuseCall('route-not-found', `route ${request.route} is no longer declared`);
  switch (route.service.kind) {
    case 'service':
      return ok(createPlan(request, route, configuration, undefined));
    case 'model':
      return parseChat(request, route.service.models).map((chat) =>
        createPlan(request, route, configuration, chat),
      );
    default:
      return assertNever(route.service);
  }
};
