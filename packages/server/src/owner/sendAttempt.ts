import type { RunCallRequest } from '@limpetnotch/peer-protocol';
import type { TargetGrant } from '@limpetnotch/scheduling';
import type { Result } from 'neverthrow';
import type { AttemptError } from '../targets/attemptError';
import { buildEngineBody } from '../targets/buildEngineBody';
import type { ResumePoint } from '../targets/buildEngineBody';
import type { TargetClient, TargetResponse } from '../targets/targetClient';
import { buildTargetHeaders } from '../targets/buildTargetHeaders';
import type { CallPlan } from './callPlan';

const MILLISECONDS_PER_SECOND = 1_000;

/** One attempt of a call at the granted target. */
export interface AttemptOptions {
  readonly client: TargetClient;
  readonly request: RunCallRequest;
  readonly plan: CallPlan;
  readonly grant: TargetGrant;
  readonly callId: string;
  readonly sessionId: string;
  /** Tokens that the call may spend on prompt and answer together. */
  readonly reservedTokens: number;
  readonly resume: ResumePoint | undefined;
  readonly traceParent: string;
  readonly signal: AbortSignal;
}

const buildBody = (options: AttemptOptions): Uint8Array => {
  const { plan, request, grant, sessionId, reservedTokens, resume } = options;
  if (!plan.chat) return request.body;
  return buildEngineBody({
    chat: plan.chat,
    maximumOutputTokens: Math.max(1, reservedTokens - plan.promptTokens),
    priority: grant.priority,
    sessionId,
    resume,
  });
};

/** Sends one attempt and resolves to the head of its response. */
export const sendAttempt = async (
  options: AttemptOptions,
): Promise<Result<TargetResponse, AttemptError>> => {
  const { client, request, plan, grant, callId, traceParent, signal } = options;
  return client.send({
    address: grant.address,
    method: request.method,
    pathAndQuery: request.pathAndQuery,
    headers: buildTargetHeaders(request.headers, {
      callId,
      organisation: request.organisation,
      traceParent,
    }),
    body: buildBody(options),
    progressDeadlineMilliseconds: plan.route.progressDeadlineSeconds * MILLISECONDS_PER_SECOND,
    signal,
  });
};
