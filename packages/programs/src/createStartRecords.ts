import type { CallRequest } from './callRequest';
import { computeSessionId } from './computeSessionId';
import type { CallPlan } from './planCall';
import type { ProgramRecord } from './programRecord';
import type { SharedBody } from './sharedBody';

/** Creates the records that start a planned call: its intent, after the start of a new program. */
export const createStartRecords = (
  request: CallRequest & SharedBody,
  plan: CallPlan,
  callId: string,
): readonly ProgramRecord[] => {
  const { program, idempotencyKey, requestDigest, route, idempotent } = request;
  const { lostAttempt, reservation, sequence, startLimits } = plan;
  const now = Date.now();
  const intent: ProgramRecord = {
    kind: 'call-intended',
    program,
    callId,
    ...(lostAttempt && { lostCallId: lostAttempt.callId }),
    sequence,
    idempotencyKey,
    requestDigest,
    route,
    idempotent,
    reservation,
    sharedBodyCharacters: request.sharedBodyCharacters,
    requestBodyBase64: request.requestBodyBase64,
    intendedAtMilliseconds: now,
  };
  if (!startLimits) return [intent];
  const started: ProgramRecord = {
    kind: 'program-started',
    program,
    sessionId: computeSessionId(program, callId),
    limits: startLimits,
    startedAtMilliseconds: now,
  };
  return [started, intent];
};
