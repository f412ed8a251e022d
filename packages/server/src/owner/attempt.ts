import type { RunCallRequest } from '@limpetnotch/peer-protocol';
import type { TargetGrant } from '@limpetnotch/scheduling';
import type { Result } from 'neverthrow';
import type { AttemptError } from '../targets/attemptError';
import { engineBody } from '../targets/engineBody';
import type { ResumePoint } from '../targets/engineBody';
import type { TargetClient, TargetResponse } from '../targets/targetClient';
import { targetHeaders } from '../targets/targetHeaders';
import type { CallPlan } from './callPlan';

const MILLISECONDS_PER_SECOND = 1_000;

/** One attempt of a call at the target that was granted. */
export interface AttemptOptions {
  readonly client: TargetClient;
  readonly request: RunCallRequest;
  readonly plan: CallPlan;
  readonly grant: TargetGrant;
  readonly callId: string;
  readonly sessionId: string;
  /** Tokens that the call may spend, prompt and answer together. */
  readonly reservedTokens: number;
  readonly resume: ResumePoint | undefined;
  readonly traceParent: string;
  readonly signal: AbortSignal;
}

const bodyOf = (options: AttemptOptions): Uint8Array => {
  const { plan, request, grant, sessionId, reservedTokens, resume } = options;
  if (!plan.chat) return request.body;
  return engineBody({
    chat: plan.chat,
    maximumOutputTokens: Math.max(1, reservedTokens - plan.promptTokens),
    priority: grant.priority,
    sessionId,
    resume,
  });
};

/** Sends one attempt and resolves with the head of its answer. */
export const sendAttempt = async (
  options: AttemptOptions,
): Promise<Result<TargetResponse, AttemptError>> => {
  const { client, request, plan, grant, callId, traceParent, signal } = options;
  return client.send({
    address: grant.address,
    method: request.method,
    pathAndQuery: request.pathAndQuery,
    headers: targetHeaders(request.headers, {
      callId,
      organisation: request.organisation,
      traceParent,
    }),
    body: bodyOf(options),
    progressDeadlineMilliseconds: plan.route.progressDeadlineSeconds * MILLISECONDS_PER_SECOND,
    signal,
  });
};
